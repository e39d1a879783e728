package io.persimmonreel.fakes;

/**
 * Specifies how fast an engine processes prompts and generates tokens.
 *
 * @param prefillTokensPerSecond the prompt tokens processed per second, over all streams
 * @param decodeTokensPerSecond the tokens generated per second by a stream that runs alone
 */
public record EngineSpeed(double prefillTokensPerSecond, double decodeTokensPerSecond) {
    /**
     * Returns the speed of a hardware generation. Each generation is about twice as fast as the one
     * before at prefill and 1.5 times as fast at decoding. An unknown name gives the speed of
     * {@code g2}.
     *
     * @param generation the generation, such as {@code g2}
     * @return the speed
     */
    public static EngineSpeed ofGeneration(final String generation) {
        return switch (generation) {
            case "g1" -> new EngineSpeed(8_000, 50);
            case "g3" -> new EngineSpeed(32_000, 110);
            default -> new EngineSpeed(16_000, 75);
        };
    }

    /**
     * Returns this speed multiplied by a factor.
     *
     * @param factor the factor, above 0
     * @return the product
     */
    public EngineSpeed times(final double factor) {
        return new EngineSpeed(prefillTokensPerSecond * factor, decodeTokensPerSecond * factor);
    }
}
