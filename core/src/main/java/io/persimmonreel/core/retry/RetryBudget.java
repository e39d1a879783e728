package io.persimmonreel.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how often this daemon sends requests of an upstream again to another replica.
 *
 * <p>The budget of the fleet in a window is a share of the requests plus a fixed slack. Each daemon
 * earns the share by its own requests and has an equal part of the slack. A daemon that restarts
 * has only what it earns until the window has passed, since the run before may have used its part.
 * Not thread safe.
 */
public final class RetryBudget {
    /**
     * Fraction of its part that a daemon uses. The operator's bound is for the fleet, and daemons
     * do not know each other's retries.
     */
    private static final double USED_SHARE = 0.75;

    /** Minimum capacity in retries, for a lone daemon that does not know the size of its fleet. */
    private static final double MINIMUM_CAPACITY = 2.0;

    private final Map<String, Double> mTokens = new HashMap<>();
    private double mRatio;
    private double mCapacity;
    private boolean mIsSlackWithheld;

    /**
     * Creates the budget of a daemon that knows no peers.
     *
     * @param ratio the retries that each request earns for the fleet
     * @param slack the retries that the fleet may make in a window beyond that
     */
    public RetryBudget(final double ratio, final double slack) {
        configure(ratio, slack, 1);
    }

    /**
     * Sets the budget of the fleet and the number of daemons that share it.
     *
     * @param ratio the retries that each request earns for the fleet
     * @param slack the retries that the fleet may make in a window beyond that
     * @param daemons the number of daemons that share the slack, at least 1
     */
    public void configure(final double ratio, final double slack, final int daemons) {
        mRatio = ratio * USED_SHARE;
        mCapacity = Math.max(MINIMUM_CAPACITY, slack * USED_SHARE / Math.max(1, daemons));
        mTokens.replaceAll((upstream, tokens) -> Math.min(tokens, mCapacity));
    }

    /** Withholds this daemon's part of the slack, after a restart. */
    public void withholdSlack() {
        mIsSlackWithheld = true;
    }

    /** Grants this daemon's part of the slack, once a window has passed since its start. */
    public void grantSlack() {
        mIsSlackWithheld = false;
        mTokens.clear();
    }

    /**
     * Adds the share that a request of a caller earns.
     *
     * @param upstream the upstream's name
     */
    public void onRequest(final String upstream) {
        final double tokens = left(upstream);
        mTokens.put(upstream, Math.min(mCapacity, tokens + mRatio));
    }

    /**
     * Uses one retry of the budget if one is left.
     *
     * @param upstream the upstream's name
     * @return true if the retry is allowed
     */
    public boolean take(final String upstream) {
        final double tokens = left(upstream);
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
     * @return the retries, including fractions
     */
    public double left(final String upstream) {
        return mTokens.getOrDefault(upstream, mIsSlackWithheld ? 0 : mCapacity);
    }
}
