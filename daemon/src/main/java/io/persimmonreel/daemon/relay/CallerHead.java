package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.WorkSize.PromptPart;
import java.util.List;

/**
 * Holds what a caller says of its request.
 *
 * @param attemptId the id of this attempt, empty if missing
 * @param key the caller's key, null if missing
 * @param deadlineMillis how long the caller waits in milliseconds, negative if not said
 * @param promptTokens the size of the prompt in tokens, negative if not said
 * @param maximumOutputTokens the most output tokens, negative if not said
 * @param expectedOutputTokens the caller's estimate of the output tokens, negative if not said
 * @param parts the parts of the prompt in order, empty if not said
 * @param resumeAfter the id of the last event that the caller has, null for a new stream
 */
public record CallerHead(
        String attemptId,
        String key,
        long deadlineMillis,
        int promptTokens,
        int maximumOutputTokens,
        int expectedOutputTokens,
        List<PromptPart> parts,
        String resumeAfter) {
    /** Copies the list of parts. */
    public CallerHead {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the size that counts towards a quota.
     *
     * @return prompt and output tokens, negative if the caller says no size
     */
    public long quotaTokens() {
        return promptTokens < 0 ? -1 : (long) promptTokens + Math.max(0, maximumOutputTokens);
    }
}
