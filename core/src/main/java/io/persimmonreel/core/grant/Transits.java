package io.persimmonreel.core.grant;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the one-way times in nanoseconds between the granter and the daemons that claim slots.
 * They are measured as half of the time for which a slot was granted and its request did not run.
 * Not thread safe.
 */
final class Transits {
    private static final double SAMPLE_WEIGHT = 0.2;
    private static final int MAXIMUM_DAEMONS = 1_024;

    private final Map<String, Double> mNanosByOrigin =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(final Map.Entry<String, Double> eldest) {
                    return size() > MAXIMUM_DAEMONS;
                }
            };

    void add(final String origin, final double grantedAndIdleNanos) {
        final double sample = Math.max(0, grantedAndIdleNanos / 2);
        mNanosByOrigin.merge(
                origin, sample, (before, after) -> before + SAMPLE_WEIGHT * (after - before));
    }

    /** Returns the time to the farthest daemon, 0 if none is known. */
    long longestNanos() {
        double longest = 0;
        for (final double nanos : mNanosByOrigin.values()) {
            longest = Math.max(longest, nanos);
        }
        return Math.round(longest);
    }

    /** Returns the time to a daemon, 0 if it is unknown. */
    long nanos(final String origin) {
        return Math.round(mNanosByOrigin.getOrDefault(origin, 0.0));
    }
}
