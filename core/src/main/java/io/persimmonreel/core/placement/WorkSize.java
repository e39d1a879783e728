package io.persimmonreel.core.placement;

import java.util.List;

/**
 * Describes how much work a request is for a replica.
 *
 * @param promptTokens the prompt tokens, 0 for a plain service
 * @param outputTokens the estimated output tokens, 0 for a plain service
 * @param maximumGapMillis the longest allowed gap between events in milliseconds, 0 if gaps do not
 *     matter
 * @param parts the parts of the prompt in order, empty if they are unknown
 */
public record WorkSize(
        int promptTokens, int outputTokens, double maximumGapMillis, List<PromptPart> parts) {
    /** The work of a request to a plain service. */
    public static final WorkSize PLAIN = new WorkSize(0, 0, 0, List.of());

    /** Copies the list of parts. */
    public WorkSize {
        parts = List.copyOf(parts);
    }

    /**
     * Describes a part of a prompt that other requests may have in common.
     *
     * @param id the hash of the part's own id
     * @param hash the hash of the ids of this part and of all parts before it
     * @param tokens the number of tokens of the part
     */
    public record PromptPart(long id, long hash, int tokens) {}

    /**
     * Returns the hash of the whole prompt, which is the same for all requests of one session.
     *
     * @return the hash of the last part, 0 if there are no parts
     */
    public long sessionHash() {
        return parts.isEmpty() ? 0 : parts.get(parts.size() - 1).hash();
    }
}
