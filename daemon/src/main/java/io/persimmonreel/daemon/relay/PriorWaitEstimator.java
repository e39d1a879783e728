package io.persimmonreel.daemon.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a caller has already waited because of earlier refusals. A caller that retries
 * declares a shorter deadline than callers that send their first attempt. Not thread safe.
 */
final class PriorWaitEstimator {
    /**
     * The share of the longest deadline of a route below which a caller is considered to be
     * retrying: deadlines of first attempts on one route differ by less than a fifth.
     */
    private static final double RETRY_DEADLINE_SHARE = 0.8;

    private final Map<String, Long> mLongestMillisByRoute = new HashMap<>();

    /**
     * Estimates the prior wait from a caller's deadline, and remembers the longest deadline of the
     * route.
     *
     * @param route the route's name
     * @param deadlineMillis how long the caller waits in milliseconds, negative if not declared
     * @return the estimated time since the caller's first attempt in milliseconds, 0 for a first
     *     attempt
     */
    double estimateMillis(final String route, final long deadlineMillis) {
        if (deadlineMillis <= 0) {
            return 0;
        }
        return priorWaitMillis(
                mLongestMillisByRoute.merge(route, deadlineMillis, Math::max), deadlineMillis);
    }

    static double priorWaitMillis(final long longestMillis, final long deadlineMillis) {
        return deadlineMillis < RETRY_DEADLINE_SHARE * longestMillis
                ? longestMillis - deadlineMillis
                : 0;
    }
}
