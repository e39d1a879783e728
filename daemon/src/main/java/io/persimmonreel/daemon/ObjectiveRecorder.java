package io.persimmonreel.daemon;

import io.persimmonreel.core.objective.ObjectiveTracker;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.daemon.request.RequestObserver;
import io.persimmonreel.daemon.request.RequestSummary;
import java.time.Duration;

/** Records in the objective tracker how finished requests ended and which prefill was wasted. */
final class ObjectiveRecorder implements RequestObserver {
    private final ObjectiveTracker mTracker;

    ObjectiveRecorder(final ObjectiveTracker tracker) {
        mTracker = tracker;
    }

    @Override
    public void onFinished(final RequestSummary summary) {
        final boolean useful = recordEnd(summary);
        mTracker.countPrefill(summary.promptTokens());
        if (!useful) {
            mTracker.countWastedPrefill(summary.promptTokens());
        }
    }

    /** Records how a request ended and returns whether its answer was of use to the caller. */
    private boolean recordEnd(final RequestSummary summary) {
        final ServiceSpec service = summary.service();
        if (!summary.countsForObjective()) {
            return false;
        }
        if (!summary.answered()) {
            mTracker.countMissed(service, summary.tier());
            return false;
        }
        mTracker.countAnswered(
                service,
                summary.tier(),
                Duration.ofNanos(summary.firstTokenNanos()),
                Duration.ofNanos(meanTokenIntervalNanos(summary)),
                Duration.ofNanos(summary.completeNanos()));
        // An answer after the deadline is of no use to the caller.
        return summary.completeNanos() <= service.deadline().toNanos();
    }

    private static long meanTokenIntervalNanos(final RequestSummary summary) {
        final long streamingNanos = summary.completeNanos() - summary.firstTokenNanos();
        return summary.tokens() > 1 ? streamingNanos / (summary.tokens() - 1) : 0;
    }
}
