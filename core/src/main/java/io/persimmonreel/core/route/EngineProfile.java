package io.persimmonreel.core.route;

/**
 * Describes what the configuration says of the engines of an upstream.
 *
 * @param memoryTokens the tokens that the memory of a replica holds
 * @param tokensPerEvent the usual number of tokens in one event of a stream, at least 1
 * @param backups whether a replica can copy the memory of a running request to another one
 */
public record EngineProfile(long memoryTokens, int tokensPerEvent, boolean backups) {}
