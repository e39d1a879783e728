package io.persimmonreel.core.schedule;

/**
 * Estimates the prefill and decode speed of an engine, or the latency of a plain replica, and its
 * failure rate.
 */
final class SpeedEstimate {
    private static final double SAMPLE_WEIGHT = 0.1;
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double INITIAL_PREFILL_TOKENS_PER_SECOND = 4000;
    private static final double INITIAL_NANOS_PER_TOKEN = 15e6;
    private static final double INITIAL_LATENCY_NANOS = 50e6;
    private static final double MINIMUM_PREFILL_TOKENS_PER_SECOND = 20;
    private static final int MINIMUM_PROMPT_TOKENS = 32;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mPrefillTokensPerSecond = INITIAL_PREFILL_TOKENS_PER_SECOND;
    private double mNanosPerToken = INITIAL_NANOS_PER_TOKEN;
    private double mLatencyNanos = INITIAL_LATENCY_NANOS;
    private double mFailureRate;
    private int mSamples;

    double prefillTokensPerSecond() {
        return mPrefillTokensPerSecond;
    }

    double nanosPerToken() {
        return mNanosPerToken;
    }

    double latencyNanos() {
        return mLatencyNanos;
    }

    double failureRate() {
        return mFailureRate;
    }

    boolean isMeasured() {
        return mSamples > 0;
    }

    /** Takes over the speed of similar replicas unless this replica's speed was measured. */
    void adopt(final double prefillTokensPerSecond, final double nanosPerToken) {
        if (!isMeasured()) {
            mPrefillTokensPerSecond = prefillTokensPerSecond;
            mNanosPerToken = nanosPerToken;
        }
    }

    void onFirstToken(final double tokens, final long nanos) {
        if (tokens >= MINIMUM_PROMPT_TOKENS && nanos > 0) {
            final double speed = tokens * NANOS_PER_SECOND / nanos;
            mPrefillTokensPerSecond =
                    Math.max(
                            MINIMUM_PREFILL_TOKENS_PER_SECOND,
                            mPrefillTokensPerSecond
                                    + SAMPLE_WEIGHT * (speed - mPrefillTokensPerSecond));
        }
    }

    void onDecoded(final int tokens, final long nanos) {
        if (tokens > 0 && nanos > 0) {
            final double weight = mSamples == 0 ? 1 : SAMPLE_WEIGHT;
            mNanosPerToken += weight * ((double) nanos / tokens - mNanosPerToken);
            mSamples++;
        }
    }

    void onPlainResponse(final long nanos) {
        final double weight = mSamples == 0 ? 1 : SAMPLE_WEIGHT;
        mLatencyNanos += weight * (nanos - mLatencyNanos);
        mSamples++;
    }

    void onOutcome(final boolean failed) {
        mFailureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - mFailureRate);
    }
}
