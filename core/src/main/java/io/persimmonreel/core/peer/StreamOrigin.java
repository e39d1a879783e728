package io.persimmonreel.core.peer;

/**
 * Reports at which software version a stream began.
 *
 * @param stream the key of the stream
 * @param version the version of the replica that sent its first event
 * @param ageMillis the time since its first event, in milliseconds
 */
public record StreamOrigin(long stream, String version, long ageMillis) {}
