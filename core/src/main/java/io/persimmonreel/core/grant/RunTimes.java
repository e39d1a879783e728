package io.persimmonreel.core.grant;

/** Tracks the mean and the mean deviation of how long requests use a slot. Not thread safe. */
final class RunTimes {
    private static final double SAMPLE_WEIGHT = 0.05;

    /** Run time in milliseconds that is assumed before the first sample. */
    private static final double TYPICAL_MILLIS = 50.0;

    /** Samples before the deviation is trusted. */
    private static final int MINIMUM_SAMPLES = 20;

    /** Of normally distributed times, 1 in 100 is longer by more than three mean deviations. */
    private static final double DEVIATIONS = 3.0;

    private double mMeanMillis;
    private double mDeviationMillis;
    private int mSamples;

    void add(final double millis) {
        mSamples++;
        final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mSamples);
        mDeviationMillis += weight * (Math.abs(millis - mMeanMillis) - mDeviationMillis);
        if (mSamples == 1) {
            mDeviationMillis = 0;
        }
        mMeanMillis += weight * (millis - mMeanMillis);
    }

    double meanMillis() {
        return mSamples == 0 ? TYPICAL_MILLIS : mMeanMillis;
    }

    /** Returns the time in milliseconds that few requests exceed, infinite if it is unknown. */
    double upperMillis() {
        return mSamples < MINIMUM_SAMPLES
                ? Double.POSITIVE_INFINITY
                : mMeanMillis + DEVIATIONS * mDeviationMillis;
    }
}
