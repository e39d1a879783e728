package io.persimmonreel.core.placement;

import java.util.List;

/**
 * Describes the work of a request for a replica.
 *
 * @param promptTokens the prompt tokens, 0 for a plain service
 * @param outputTokens the estimated output tokens, 0 for a plain service
 * @param pauseMillis the longest pause between events that is on time, in milliseconds, 0 if pauses
 *     do not count
 * @param parts the parts of the prompt in order
 */
public record WorkSize(
        int promptTokens, int outputTokens, double pauseMillis, List<PromptPart> parts) {
    /** A request to a plain service. */
    public static final WorkSize PLAIN = new WorkSize(0, 0, 0, List.of());

    /** Copies the list of parts. */
    public WorkSize {
        parts = List.copyOf(parts);
    }

    /**
     * Describes a part of a prompt that other requests may share.
     *
     * @param hash the hash of the part's id and of the ids before it
     * @param tokens the tokens of the part
     */
    public record PromptPart(long hash, int tokens) {}

    /**
     * Returns the hash of the whole prompt, which requests of one session share.
     *
     * @return the hash of the last part, 0 if there are no parts
     */
    public long sessionHash() {
        return parts.isEmpty() ? 0 : parts.get(parts.size() - 1).hash();
    }
}
