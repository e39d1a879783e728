package io.persimmonreel.core.config;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.time.TimeSource;

/** Writes decision records about configuration versions. */
final class ConfigurationDecisions {
    private final TimeSource mTime;
    private final DecisionLog mLog;

    ConfigurationDecisions(final TimeSource time, final DecisionLog log) {
        mTime = time;
        mLog = log;
    }

    void record(final String decision, final long version, final String reason) {
        mLog.add(
                new DecisionRecord(
                        mTime.wallMillis(),
                        "",
                        Step.CONFIGURE,
                        decision,
                        "version " + version,
                        reason));
    }
}
