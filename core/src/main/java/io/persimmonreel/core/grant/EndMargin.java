package io.persimmonreel.core.grant;

/**
 * Adapts the margin, beyond the mean run time, after which a slot is granted before its release.
 *
 * <p>Each early grant that is served lowers the margin a little, and each that is not raises it
 * much more. So it settles where {@link #TARGET_SHARE} of the early grants find the replica full,
 * whatever the spread of the run times and the way to the replicas are. Not thread safe.
 */
final class EndMargin {
    /** Less than half of the rejected arrivals that are accepted, since the margin varies. */
    private static final double TARGET_SHARE = 0.004;

    private static final double STEP_SHARE = 1.0 / 5_000;

    /** Before the first request that is not served, the margin falls faster. */
    private static final int FIRST_STEPS = 5;

    private static final double LOWEST_SHARE = -0.3;

    private boolean mIsSettled;
    private double mMillis = Double.POSITIVE_INFINITY;

    void onServed(final RunTimes runs) {
        final double mean = runs.meanMillis();
        final double step = STEP_SHARE * mean * (mIsSettled ? 1 : FIRST_STEPS);
        mMillis = Math.max(LOWEST_SHARE * mean, millis(runs) - step);
    }

    void onNotServed(final RunTimes runs) {
        mIsSettled = true;
        mMillis = millis(runs) + STEP_SHARE * runs.meanMillis() * (1 / TARGET_SHARE - 1);
    }

    /** Returns the margin in milliseconds, infinite before enough run times are known. */
    double millis(final RunTimes runs) {
        return Math.min(mMillis, runs.upperMillis() - runs.meanMillis());
    }
}
