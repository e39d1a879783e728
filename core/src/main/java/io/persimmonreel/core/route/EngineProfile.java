package io.persimmonreel.core.route;

/**
 * Describes what the configuration says of the engines of an upstream.
 *
 * @param tokensPerEvent the usual number of tokens in one event of a stream, at least 1
 */
public record EngineProfile(int tokensPerEvent) {}
