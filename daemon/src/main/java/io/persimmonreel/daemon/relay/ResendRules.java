package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.retry.RetryBudget;
import java.util.HashSet;
import java.util.Set;

/** Decides whether a request may be sent to another replica. Not thread safe. */
final class ResendRules {
    /** The minimum remaining time for a resend; with less the response can't arrive in time. */
    private static final double MINIMUM_RESEND_MILLIS = 60;

    private final StreamTakeUps mTakeUps;
    private final RetryBudget mBudget;

    ResendRules(final StreamTakeUps takeUps, final RetryBudget budget) {
        mTakeUps = takeUps;
        mBudget = budget;
    }

    /**
     * Returns whether a request may be sent again. If so, the resend is taken from the budget.
     *
     * @param call the request
     * @param notRun whether the replica stated that it did not run the request
     * @param nowNanos the current monotonic time in nanoseconds
     */
    boolean tryReserve(final RelayCall call, final boolean notRun, final long nowNanos) {
        return call.countedDispatches() < call.task().route().maximumAttempts()
                && (notRun || call.task().route().resendRule().allowsResend())
                && call.task().millisLeft(nowNanos) > MINIMUM_RESEND_MILLIS
                && hasOtherReplica(call, nowNanos)
                && mBudget.take(call.task().upstream());
    }

    private boolean hasOtherReplica(final RelayCall call, final long nowNanos) {
        final double millisLeft = call.task().millisLeft(nowNanos) - MINIMUM_RESEND_MILLIS;
        final Set<String> used = new HashSet<>(call.excludedReplicas());
        used.add(call.replica().entry().id());
        return mTakeUps.candidates(call).stream()
                .anyMatch(
                        replica ->
                                replica.waitMillis(nowNanos) < millisLeft
                                        && !used.contains(replica.entry().id()));
    }
}
