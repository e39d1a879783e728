package io.persimmonreel.daemon.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells callers that were refused before and returned from those that come for the first time, by
 * the time that they still wait. Not thread safe.
 */
final class CallerPatience {
    /**
     * Callers of one route wait for times that differ by less than a fifth. One that has less than
     * this part of the longest time was refused before and returned.
     */
    private static final double RETURNED_SHARE = 0.8;

    private final Map<String, Long> mLongest = new HashMap<>();

    /**
     * Takes a caller's deadline.
     *
     * @param route the route's name
     * @param deadlineMillis how long the caller waits in milliseconds, negative if not said
     * @return the estimated time since the caller's first attempt in milliseconds, 0 for a first
     *     one
     */
    double onDeadline(final String route, final long deadlineMillis) {
        if (deadlineMillis <= 0) {
            return 0;
        }
        return waitedBefore(mLongest.merge(route, deadlineMillis, Math::max), deadlineMillis);
    }

    static double waitedBefore(final long longest, final long deadline) {
        return deadline < RETURNED_SHARE * longest ? longest - deadline : 0;
    }
}
