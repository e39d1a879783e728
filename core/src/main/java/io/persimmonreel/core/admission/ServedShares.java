package io.persimmonreel.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures, for each rank, the recent share of the requests for an upstream that were sent to a
 * replica.
 *
 * <p>Handles an upstream that is asked for more than it can serve for seconds: from it follows of
 * which rank requests may be deferred, so that no rank is served less often than a lower one. Not
 * thread safe.
 */
public final class ServedShares {
    /**
     * The time constant of the measurement, about the time that callers of streams have. In trials,
     * 3 s and 30 s changed the share of requests that were served by at most 2 in 100.
     */
    private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<Integer, Counts> mByRank = new HashMap<>();

    /** Counts the requests of one rank; earlier ones count less. */
    private static final class Counts {
        private double mArrived;
        private double mSent;
        private long mAtNanos;

        Counts(final long nowNanos) {
            mAtNanos = nowNanos;
        }

        void age(final long nowNanos) {
            final double kept = Math.exp((double) (mAtNanos - nowNanos) / MEMORY_NANOS);
            mArrived *= kept;
            mSent *= kept;
            mAtNanos = nowNanos;
        }

        /** Returns the share that was sent, which tends to 1 if nothing arrived recently. */
        double share() {
            return (mSent + 1) / (mArrived + 1);
        }
    }

    /**
     * Records that a request has arrived.
     *
     * @param rank the priority rank, 0 is the highest
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onArrived(final int rank, final long nowNanos) {
        counts(rank, nowNanos).mArrived++;
    }

    /**
     * Records that a request was sent to a replica.
     *
     * @param rank the priority rank, 0 is the highest
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onSent(final int rank, final long nowNanos) {
        counts(rank, nowNanos).mSent++;
    }

    /**
     * Returns whether a rank was recently served less often than a lower one, so that requests of
     * the lower one should be deferred before its own.
     *
     * @param rank the priority rank, 0 is the highest
     * @param ranks the ranks to which it is compared
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false if it was served at least as often as all lower ones
     */
    public boolean isBehindLower(
            final int rank, final Collection<Integer> ranks, final long nowNanos) {
        final double share = counts(rank, nowNanos).share();
        return ranks.stream()
                .anyMatch(other -> other > rank && counts(other, nowNanos).share() > share);
    }

    private Counts counts(final int rank, final long nowNanos) {
        final Counts counts = mByRank.computeIfAbsent(rank, r -> new Counts(nowNanos));
        counts.age(nowNanos);
        return counts;
    }
}
