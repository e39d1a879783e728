package io.persimmonreel.core.schedule;

import java.util.SplittableRandom;

/** Limits dispatch retries by a budget and spreads the times at which refused callers retry. */
final class RetryPolicy {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAXIMUM_BUDGET_RETRIES = 20;
    private static final double INITIAL_BUDGET_RETRIES = 3;
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 60_000;

    private final SplittableRandom mRandom;
    private double mBudgetRetries = INITIAL_BUDGET_RETRIES;

    RetryPolicy(final SplittableRandom random) {
        mRandom = random;
    }

    void onRequest() {
        mBudgetRetries = Math.min(MAXIMUM_BUDGET_RETRIES, mBudgetRetries + RETRIES_PER_REQUEST);
    }

    /** Takes one retry from the budget; returns false if the budget is used up. */
    boolean takeRetry() {
        if (mBudgetRetries < 1) {
            return false;
        }
        mBudgetRetries--;
        return true;
    }

    /**
     * Returns the time after which a refused caller should retry.
     *
     * @param drainNanos the time in which the queue is expected to drain
     * @return the bounded drain time in milliseconds, times a random factor from 0.5 to 1.5
     */
    long retryAfterMillis(final double drainNanos) {
        final double base =
                Math.max(
                        MINIMUM_RETRY_AFTER_MILLIS,
                        Math.min(MAXIMUM_RETRY_AFTER_MILLIS, drainNanos / 1e6));
        return (long) (base * (0.5 + mRandom.nextDouble()));
    }
}
