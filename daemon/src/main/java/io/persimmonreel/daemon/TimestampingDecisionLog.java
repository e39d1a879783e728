package io.persimmonreel.daemon;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.time.TimeSource;

/** Stamps decision records of components without a clock with the wall-clock time. */
final class TimestampingDecisionLog implements DecisionLog {
    private final DecisionLog mTarget;
    private final TimeSource mTime;

    TimestampingDecisionLog(final DecisionLog target, final TimeSource time) {
        mTarget = target;
        mTime = time;
    }

    @Override
    public void add(final DecisionRecord record) {
        mTarget.add(
                new DecisionRecord(
                        mTime.wallMillis(),
                        record.requestId(),
                        record.step(),
                        record.decision(),
                        record.subject(),
                        record.reason()));
    }
}
