package io.persimmonreel.core.route;

/**
 * Contains the configured properties of the engines of an upstream.
 *
 * @param tokensPerEvent the usual number of tokens per event of a stream, at least 1
 */
public record EngineProfile(int tokensPerEvent) {}
