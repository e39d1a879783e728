package io.persimmonreel.core.placement;

/**
 * Measures which fraction of the prompt tokens that an engine may have cached it did have cached,
 * by the reason for which it may have them. Not thread safe.
 */
final class PromptHitRatios {
    /** The number of replicas that are preferred for a session. */
    static final int PREFERRED = 3;

    /** The index of the parts that this daemon sent to the replica; ranks come before it. */
    static final int SENT = PREFERRED;

    /**
     * Ratios before the first measurement, of the first, second and third preferred replica of a
     * session and of the parts that this daemon sent. All daemons rank the replicas alike, so
     * daemons that find the first one busy agree on the next one.
     */
    private static final double[] ASSUMED = {0.85, 0.5, 0.25, 1.0};

    /** Weight of a sample among many. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** The assumed ratio weighs as much as this number of samples. */
    private static final int ASSUMED_SAMPLES = 4;

    private final double[] mRatios = ASSUMED.clone();
    private final int[] mSamples = new int[ASSUMED.length];

    /**
     * Predicts how many prompt tokens of a request are not cached at a replica.
     *
     * @param work the size of the request
     * @param sentTokens the tokens of the parts that this daemon sent there
     * @param rank the rank of the replica among those preferred for the session, negative if none
     * @return the tokens
     */
    int uncachedTokens(final WorkSize work, final int sentTokens, final int rank) {
        final int others = Math.max(0, work.promptTokens() - sentTokens);
        return (int) (sentTokens * (1.0 - mRatios[SENT]))
                + (rank < 0 ? others : (int) (others * (1.0 - mRatios[rank])));
    }

    /**
     * Adds the result of a request.
     *
     * @param expected what the request was expected to find
     * @param firstMillis the time from sending the request to the first event in milliseconds
     */
    void onFirstEvent(final CachedPrompt expected, final double firstMillis) {
        if (expected.isMeasurable()) {
            final int reason = expected.reason();
            mSamples[reason]++;
            final double weight =
                    Math.max(SAMPLE_WEIGHT, 1.0 / (mSamples[reason] + ASSUMED_SAMPLES));
            mRatios[reason] += weight * (expected.hitRatio(firstMillis) - mRatios[reason]);
        }
    }
}
