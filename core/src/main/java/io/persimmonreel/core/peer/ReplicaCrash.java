package io.persimmonreel.core.peer;

/**
 * Describes the crash of one start of a replica.
 *
 * @param replica the replica's id
 * @param startedMillis when it started, milliseconds since the Unix epoch, 0 if unknown
 * @param ageMillis the time since the last sign of the crash, in milliseconds
 */
public record ReplicaCrash(String replica, long startedMillis, long ageMillis) {}
