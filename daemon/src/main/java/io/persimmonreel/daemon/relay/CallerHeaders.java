package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.WorkSize.PromptPart;
import java.util.List;

/**
 * Holds the decoded header fields of a caller's request.
 *
 * @param attemptId the id of this attempt, empty if missing
 * @param key the caller's API key, null if missing
 * @param deadlineMillis how long the caller waits in milliseconds, negative if not declared
 * @param promptTokens the size of the prompt in tokens, negative if not declared
 * @param maximumOutputTokens the maximum number of output tokens, negative if not declared
 * @param expectedOutputTokens the caller's estimate of the output tokens, negative if not declared
 * @param parts the parts of the prompt in order, empty if not declared
 * @param resumeAfter the id of the last event that the caller received, null for a new stream
 * @param resumes the attempt that brought the first event of that stream, null if not declared
 */
public record CallerHeaders(
        String attemptId,
        String key,
        long deadlineMillis,
        int promptTokens,
        int maximumOutputTokens,
        int expectedOutputTokens,
        List<PromptPart> parts,
        String resumeAfter,
        String resumes) {
    /** Makes a defensive copy of the parts. */
    public CallerHeaders {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the ids of the parts that requests of several sessions may share: all but the last,
     * which belongs to the request or its session.
     *
     * @return the ids, empty if there are less than two parts
     */
    public List<Long> sharedPartIds() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::id).toList();
    }

    /**
     * Returns the number of tokens that count towards a quota.
     *
     * @return prompt and maximum output tokens, negative if the caller declares no prompt size
     */
    public long quotaTokens() {
        return promptTokens < 0 ? -1 : (long) promptTokens + Math.max(0, maximumOutputTokens);
    }
}
