package io.persimmonreel.daemon.request;

import java.nio.charset.StandardCharsets;

/**
 * Holds the fields that were read from the body of an engine request.
 *
 * @param prompt the whole prompt, including the shared prefix
 * @param prefixLength the length of the shared prefix in characters, 0 if there is none
 * @param promptTokens the estimated length of the prompt in tokens
 * @param prefixHash the hash of the shared prefix, 0 if there is none
 * @param prefixTokens the estimated length of the shared prefix in tokens
 * @param maxOutputTokens the maximum number of tokens in the answer
 */
public record EngineInput(
        String prompt,
        int prefixLength,
        int promptTokens,
        long prefixHash,
        int prefixTokens,
        int maxOutputTokens) {
    /**
     * Returns the content by which this request is compared with others for similarity.
     *
     * @return the prompt without the shared prefix
     */
    public byte[] similarityContent() {
        return prompt.substring(prefixLength).getBytes(StandardCharsets.UTF_8);
    }
}
