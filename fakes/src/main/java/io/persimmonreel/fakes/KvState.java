package io.persimmonreel.fakes;

/**
 * Represents an exported KV cache: all that an engine needs to continue a stream without prefill.
 *
 * @param work what the stream was asked to generate
 * @param produced the number of tokens generated so far
 * @param prefillTokens the number of prompt tokens that were processed for the stream
 */
record KvState(EngineStream.Work work, int produced, double prefillTokens) {}
