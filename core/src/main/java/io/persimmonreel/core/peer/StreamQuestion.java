package io.persimmonreel.core.peer;

/**
 * Asks at which software version a stream began.
 *
 * @param stream the key of the stream
 * @param upstream the upstream that serves it
 * @param ageMillis the longest time since the stream was requested, in milliseconds
 * @param judge whether the sender may not know all replicas that were ready
 */
public record StreamQuestion(long stream, String upstream, long ageMillis, boolean judge) {}
