package io.persimmonreel.core.peer;

/**
 * Answers a claim with a slot, or with the time until there is probably one.
 *
 * @param origin the address of the daemon that claimed the slot
 * @param number the number of the claim
 * @param upstream the upstream's name
 * @param replica the id of the replica whose slot is granted, empty while the claim waits
 * @param waitMillis the expected wait in milliseconds, 0 for a granted slot
 */
public record SlotGrant(
        String origin, long number, String upstream, String replica, int waitMillis) {}
