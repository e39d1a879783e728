package io.persimmonreel.fakes;

/**
 * Holds the load of an engine at one point in time.
 *
 * @param running the number of streams in the batch
 * @param waiting the number of accepted streams that wait for a place in the batch
 * @param prefillBacklogTokens the prompt tokens of these streams that are not processed yet
 * @param kvUsedTokens the size in tokens of the reserved KV caches and the cached prefixes
 */
record EngineLoad(int running, int waiting, int prefillBacklogTokens, int kvUsedTokens) {}
