package io.persimmonreel.daemon.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the number of output tokens of a request from the caller's estimate, or from the moving
 * mean of the route. Not thread safe.
 */
final class OutputLengthEstimator {
    private static final double SAMPLE_WEIGHT = 0.05;

    /** The assumed mean output of a route before its first response, in tokens. */
    private static final double INITIAL_MEAN_TOKENS = 150;

    private final Map<String, Double> mMeanTokensByRoute = new HashMap<>();

    int estimate(final String route, final CallerHeaders callerHeaders) {
        final double expected =
                callerHeaders.expectedOutputTokens() >= 0
                        ? callerHeaders.expectedOutputTokens()
                        : mMeanTokensByRoute.getOrDefault(route, INITIAL_MEAN_TOKENS);
        final int maximum =
                callerHeaders.maximumOutputTokens() > 0
                        ? callerHeaders.maximumOutputTokens()
                        : Integer.MAX_VALUE;
        return (int) Math.max(1, Math.min(maximum, expected));
    }

    void addSample(final String route, final int tokens) {
        mMeanTokensByRoute.merge(
                route, (double) tokens, (mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
    }
}
