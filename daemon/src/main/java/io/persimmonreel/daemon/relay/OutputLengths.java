package io.persimmonreel.daemon.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the output of requests from the caller's estimate, or from the mean of the route.
 *
 * <p>Not thread safe.
 */
final class OutputLengths {
    private static final double SAMPLE_WEIGHT = 0.05;

    /** Output of a route before its first answer, in tokens. */
    private static final double TYPICAL_TOKENS = 150;

    private final Map<String, Double> mMeans = new HashMap<>();

    int estimate(final String route, final CallerHead head) {
        final double expected =
                head.expectedOutputTokens() >= 0
                        ? head.expectedOutputTokens()
                        : mMeans.getOrDefault(route, TYPICAL_TOKENS);
        final int most =
                head.maximumOutputTokens() > 0 ? head.maximumOutputTokens() : Integer.MAX_VALUE;
        return (int) Math.max(1, Math.min(most, expected));
    }

    void onAnswered(final String route, final int tokens) {
        mMeans.merge(
                route, (double) tokens, (mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
    }
}
