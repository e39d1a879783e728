package io.persimmonreel.core.route;

/**
 * Contains the configured properties of the engines of an upstream.
 *
 * @param tokensPerEvent the usual number of tokens per event of a stream, at least 1
 * @param memoryTokens the tokens of running requests and cached prompt parts that an engine holds,
 *     0 if unknown
 */
public record EngineProfile(int tokensPerEvent, long memoryTokens) {
    /** The profile of engines about which nothing is configured. */
    public static final EngineProfile UNKNOWN = new EngineProfile(1);

    /**
     * Creates the profile of engines whose memory is unknown.
     *
     * @param tokensPerEvent the usual number of tokens per event of a stream, at least 1
     */
    public EngineProfile(final int tokensPerEvent) {
        this(tokensPerEvent, 0);
    }
}
