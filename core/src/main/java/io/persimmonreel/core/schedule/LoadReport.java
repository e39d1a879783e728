package io.persimmonreel.core.schedule;

/**
 * Holds one load report of a replica.
 *
 * @param replica the replica's id
 * @param running the number of requests in the engine's batch
 * @param waiting the number of requests admitted but not in the batch
 * @param prefillBacklogTokens the prompt tokens not yet processed
 * @param kvUsedTokens the tokens held in the KV cache
 * @param kvCapacityTokens the tokens that fit in the KV cache
 * @param ageMillis the age of these values when the report was received, in milliseconds
 */
public record LoadReport(
        String replica,
        int running,
        int waiting,
        int prefillBacklogTokens,
        int kvUsedTokens,
        int kvCapacityTokens,
        long ageMillis) {}
