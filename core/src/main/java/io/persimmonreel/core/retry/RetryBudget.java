package io.persimmonreel.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often this daemon sends requests of an upstream to another replica.
 *
 * <p>The fleet's budget in a window is a share of the requests and a fixed slack. Each daemon earns
 * the share by its own requests and holds an equal part of the slack. Not thread safe.
 */
public final class RetryBudget {
    /** Daemons do not see each other's retries, so that each stays below its part. */
    private static final double SAFETY = 0.75;

    /** A lone daemon of unknown fleet size keeps this many retries at least. */
    private static final double LEAST_CAPACITY = 2.0;

    private final Map<String, Double> mTokens = new HashMap<>();
    private double mRatio;
    private double mCapacity;

    /**
     * Creates a budget.
     *
     * @param ratio the retries that each request earns for the fleet
     * @param slack the retries that the fleet may make in a window beyond that
     */
    public RetryBudget(final double ratio, final double slack) {
        configure(ratio, slack, 1);
    }

    /**
     * Sets the bounds.
     *
     * @param ratio the retries that each request earns for the fleet
     * @param slack the retries that the fleet may make in a window beyond that
     * @param daemons the daemons that share the slack, at least 1
     */
    public void configure(final double ratio, final double slack, final int daemons) {
        mRatio = ratio * SAFETY;
        mCapacity = Math.max(LEAST_CAPACITY, slack * SAFETY / Math.max(1, daemons));
        mTokens.replaceAll((upstream, tokens) -> Math.min(tokens, mCapacity));
    }

    /**
     * Counts a request of a caller.
     *
     * @param upstream the upstream's name
     */
    public void onRequest(final String upstream) {
        final double tokens = mTokens.getOrDefault(upstream, mCapacity);
        mTokens.put(upstream, Math.min(mCapacity, tokens + mRatio));
    }

    /**
     * Takes one retry from the budget.
     *
     * @param upstream the upstream's name
     * @return true if the retry may be made
     */
    public boolean take(final String upstream) {
        final double tokens = mTokens.getOrDefault(upstream, mCapacity);
        if (tokens < 1.0) {
            return false;
        }
        mTokens.put(upstream, tokens - 1.0);
        return true;
    }

    /**
     * Returns the retries that are left.
     *
     * @param upstream the upstream's name
     * @return retries, with a fraction
     */
    public double left(final String upstream) {
        return mTokens.getOrDefault(upstream, mCapacity);
    }
}
