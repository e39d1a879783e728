package io.persimmonreel.core.grant;

import io.persimmonreel.core.admission.ServedShares;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Compares how often the claims of each rank recently led to a complete response, over all daemons.
 *
 * <p>A daemon holds few requests of an upstream with few slots, so that only the granter can tell
 * that a rank is served less often than a lower one. Not thread safe.
 */
final class RankBalance {
    private final ServedShares mServed = new ServedShares();

    /**
     * Records that a claim was queued.
     *
     * @param rank the priority rank of its request, 0 is the highest
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void onQueued(final int rank, final long nowNanos) {
        mServed.onArrived(rank, nowNanos);
    }

    /**
     * Records that a claim led to a complete response.
     *
     * @param rank the priority rank of its request
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void onServed(final int rank, final long nowNanos) {
        mServed.onSent(rank, nowNanos);
    }

    /**
     * Returns the ranks that were served less often than a lower one.
     *
     * @param ranks the ranks that are compared
     * @param nowNanos the current monotonic time in nanoseconds
     * @return some of the ranks
     */
    Set<Integer> behind(final Collection<Integer> ranks, final long nowNanos) {
        final Set<Integer> compared = Set.copyOf(ranks);
        final Set<Integer> behind = new HashSet<>(compared);
        behind.removeIf(rank -> !mServed.isBehindLower(rank, compared, nowNanos));
        return behind;
    }
}
