package io.persimmonreel.core.schedule;

/**
 * Adapts the number of concurrent requests at a replica to its latency: additive increase, and
 * multiplicative decrease when the smoothed latency ratio exceeds twice its baseline. The ratio is
 * the measured latency divided by the expected one; the baseline follows its minimum.
 */
final class ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.85;
    private static final double MINIMUM_LIMIT_FRACTION = 0.25;
    private static final double MAXIMUM_SLOWDOWN_RATIO = 2.0;

    /** The baseline rises by this fraction per sample, so that it follows a lasting change. */
    private static final double BASELINE_RISE = 0.005;

    private static final long DECREASE_INTERVAL_NANOS = 1_000_000_000L;

    /** Small, since single response times vary by more than the factor of 2 without overload. */
    private static final double SAMPLE_WEIGHT = 0.05;

    private final int mDeclared;
    private double mMeanRatio = 1;
    private double mMeanExcessNanos;
    private double mLimit;
    private double mBaselineRatio;
    private long mDecreasedNanos;
    private boolean mDecreased;

    ConcurrencyLimit(final int declared) {
        mDeclared = declared;
        mLimit = declared;
    }

    double limit() {
        return mLimit;
    }

    /**
     * Adjusts the limit to one measured latency: the time to the first token of an engine, or the
     * response time of a plain replica.
     *
     * @param ratio the measured latency divided by the expected one
     * @param excessNanos the measured latency minus the expected one
     * @param noiseNanos the mean excess up to which the limit is not decreased
     * @param nowNanos the present time
     */
    void onLatency(
            final double ratio,
            final double excessNanos,
            final double noiseNanos,
            final long nowNanos) {
        mMeanRatio += SAMPLE_WEIGHT * (ratio - mMeanRatio);
        mMeanExcessNanos += SAMPLE_WEIGHT * (excessNanos - mMeanExcessNanos);
        mBaselineRatio =
                mBaselineRatio == 0 || mMeanRatio < mBaselineRatio
                        ? mMeanRatio
                        : mBaselineRatio * (1 + BASELINE_RISE);
        if (mMeanRatio > MAXIMUM_SLOWDOWN_RATIO * Math.max(1, mBaselineRatio)
                && mMeanExcessNanos > noiseNanos) {
            if (!mDecreased || nowNanos - mDecreasedNanos > DECREASE_INTERVAL_NANOS) {
                mLimit =
                        Math.max(
                                Math.max(1, mDeclared * MINIMUM_LIMIT_FRACTION),
                                mLimit * DECREASE_FACTOR);
                mDecreasedNanos = nowNanos;
                mDecreased = true;
            }
        } else {
            mLimit = Math.min(mDeclared, mLimit + 1 / mLimit);
        }
    }
}
