package io.persimmonreel.core.grant;

/**
 * Describes the slots of one replica as the granter sees it.
 *
 * @param replica the replica's id
 * @param slots the requests that it runs at the same time
 * @param open whether it takes requests
 * @param load the requests of all daemons there, by reports that may be old
 */
public record ReplicaSlots(String replica, int slots, boolean open, double load) {}
