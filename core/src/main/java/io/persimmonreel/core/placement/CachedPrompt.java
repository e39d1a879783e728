package io.persimmonreel.core.placement;

import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;

/**
 * Describes the part of a prompt that an engine may have cached.
 *
 * @param reason the reason by which {@link PromptHitRatios} counts it, negative if none is expected
 *     or if hits are not measured
 * @param missMillis the prefill time of the part if it is not cached, in milliseconds
 * @param hitMillis the time to the first event if it is cached, in milliseconds
 */
public record CachedPrompt(int reason, double missMillis, double hitMillis) {
    /** Nothing is expected to be cached. */
    public static final CachedPrompt NONE = new CachedPrompt(-1, 0, 0);

    /** Shorter prefills don't show in the time to the first event, in milliseconds. */
    private static final double MINIMUM_MILLIS = 10;

    /**
     * Adds to a choice the part of the prompt that may be cached.
     *
     * @param choice the choice
     * @param work the size of the request
     * @param sentTokens the tokens of the parts that this daemon sent to the replica
     * @param rank the rank of the replica among those preferred for the session, negative if none
     * @return the choice with the part
     */
    static Choice addTo(
            final Choice choice, final WorkSize work, final int sentTokens, final int rank) {
        final Replica replica = choice.replica();
        final double tokenMillis = replica.tokenMillis(Placement.TYPICAL_TOKEN_MILLIS);
        final double prefillMillis =
                replica.prefillTokenMicros(tokenMillis * Placement.PREFILL_MICROS_PER_TOKEN_MILLI)
                        / 1_000;
        return new Choice(
                replica,
                choice.firstMillis(),
                choice.waitMillis(),
                choice.totalMillis(),
                choice.prefillTokens(),
                choice.load(),
                choice.withheld(),
                choice.scoreMillis(),
                of(
                        work,
                        sentTokens,
                        rank,
                        prefillMillis,
                        tokenMillis + replica.pendingPrefill() * prefillMillis));
    }

    /**
     * Returns the rank of a replica among those preferred for a session.
     *
     * @param preferred the preferred replicas, the best first
     * @param replica the replica
     * @return the index, negative if the replica is none of them
     */
    static int rank(final Replica[] preferred, final Replica replica) {
        for (int rank = 0; rank < preferred.length; rank++) {
            if (preferred[rank] == replica) {
                return rank;
            }
        }
        return -1;
    }

    /**
     * Describes the larger one of the parts that this daemon and that other daemons sent.
     *
     * @param work the size of the request
     * @param sentTokens the tokens of the parts that this daemon sent to the replica
     * @param rank the rank of the replica among those preferred for the session, negative if none
     * @param tokenMillis the prefill time of a token in milliseconds
     * @param otherMillis the time to the first event without a prefill of this prompt, in
     *     milliseconds
     * @return the description
     */
    private static CachedPrompt of(
            final WorkSize work,
            final int sentTokens,
            final int rank,
            final double tokenMillis,
            final double otherMillis) {
        final int others = Math.max(0, work.promptTokens() - sentTokens);
        if (sentTokens > 0 && (sentTokens >= others || rank < 0)) {
            return new CachedPrompt(
                    PromptHitRatios.SENT,
                    sentTokens * tokenMillis,
                    otherMillis + others * tokenMillis);
        }
        return rank < 0 ? NONE : new CachedPrompt(rank, others * tokenMillis, otherMillis);
    }

    /**
     * Returns whether the time to the first event tells nothing about the prefill time, because the
     * tokens that are read are unknown.
     *
     * @return true if a part of the prompt may be cached
     */
    public boolean isExpected() {
        return reason >= 0;
    }

    /**
     * Returns whether the time to the first event shows how much was cached.
     *
     * @return true if the part takes long enough to read
     */
    public boolean isMeasurable() {
        return isExpected() && missMillis >= MINIMUM_MILLIS;
    }

    /**
     * Estimates the fraction of the part that was cached.
     *
     * @param firstMillis the time from sending the request to the first event in milliseconds
     * @return the fraction from 0 to 1
     */
    public double hitRatio(final double firstMillis) {
        return Math.max(0, Math.min(1, 1 - (firstMillis - hitMillis) / missMillis));
    }
}
