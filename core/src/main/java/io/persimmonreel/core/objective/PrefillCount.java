package io.persimmonreel.core.objective;

/**
 * Holds the number of prompt tokens sent to engines, on one or several daemons.
 *
 * @param tokens all prompt tokens sent to engines
 * @param wastedTokens the prompt tokens of requests that were restarted, discarded or late
 */
public record PrefillCount(long tokens, long wastedTokens) {
    /** No tokens. */
    public static final PrefillCount NONE = new PrefillCount(0, 0);

    /**
     * Adds another count.
     *
     * @param other the other count
     * @return the sum
     */
    public PrefillCount plus(final PrefillCount other) {
        return new PrefillCount(tokens + other.tokens, wastedTokens + other.wastedTokens);
    }

    /**
     * Returns the share of wasted tokens.
     *
     * @return the share from 0 to 1; 0 if no tokens were sent
     */
    public double wastedShare() {
        return tokens == 0 ? 0.0 : (double) wastedTokens / tokens;
    }
}
