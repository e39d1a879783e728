package io.persimmonreel.core.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Records when requests arrive at cold replicas, and counts those in any second. */
final class ColdArrivals {
    private static final int WINDOW_MILLIS = 1_000;

    private final SplittableRandom mRandom;
    private final int mMaximumLatencyMillis;
    private final List<List<Integer>> mArrivalMillis = new ArrayList<>();
    private boolean mHasDemand = true;

    /** Creates a record of requests that arrive within a time after they are sent. */
    ColdArrivals(final int replicas, final int maximumLatencyMillis, final long seed) {
        mRandom = new SplittableRandom(seed);
        mMaximumLatencyMillis = maximumLatencyMillis;
        for (int i = 0; i < replicas; i++) {
            mArrivalMillis.add(new ArrayList<>());
        }
    }

    /** Sets whether all daemons have requests for all replicas, or none has any. */
    void demand(final boolean demand) {
        mHasDemand = demand;
    }

    boolean hasDemand() {
        return mHasDemand;
    }

    int replicas() {
        return mArrivalMillis.size();
    }

    void add(final int replica, final int sentMillis) {
        mArrivalMillis.get(replica).add(sentMillis + mRandom.nextInt(mMaximumLatencyMillis + 1));
    }

    /** Returns the arrivals at the replica with the fewest from a time on. */
    long fewestFrom(final int millis) {
        return mArrivalMillis.stream()
                .mapToLong(arrivals -> arrivals.stream().filter(at -> at >= millis).count())
                .min()
                .orElse(0);
    }

    /** Returns the most arrivals at a replica in a window. */
    int mostInWindow() {
        return mostInWindow(0, Integer.MAX_VALUE);
    }

    /** Returns the most arrivals at a replica in a window between two times. */
    int mostInWindow(final int fromMillis, final int toMillis) {
        int most = 0;
        for (final List<Integer> arrivals : mArrivalMillis) {
            final List<Integer> sorted =
                    arrivals.stream()
                            .filter(at -> at >= fromMillis && at < toMillis)
                            .sorted()
                            .toList();
            int first = 0;
            for (int last = 0; last < sorted.size(); last++) {
                while (sorted.get(last) - sorted.get(first) >= WINDOW_MILLIS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }
}
