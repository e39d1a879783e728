package io.persimmonreel.daemon.upstream;

/**
 * Describes a stream to open on an engine.
 *
 * @param streamId the stream's id, unique in the fleet
 * @param model the model
 * @param modelVersion the model version
 * @param prompt the complete prompt, including the shared prefix
 * @param promptTokens the estimated length of the prompt in tokens
 * @param prefixHash the hash of the shared prefix, 0 if there is none
 * @param maxOutputTokens the maximum number of tokens to generate
 */
public record StreamRequest(
        String streamId,
        String model,
        String modelVersion,
        String prompt,
        int promptTokens,
        long prefixHash,
        int maxOutputTokens) {}
