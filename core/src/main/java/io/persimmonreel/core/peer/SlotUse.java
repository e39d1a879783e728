package io.persimmonreel.core.peer;

/**
 * States that a request uses a slot, also if the slot was not granted. It renews the lease, and
 * tells a granter that has just started which slots are in use.
 *
 * @param origin the address of the daemon that sent the request
 * @param upstream the upstream's name
 * @param number the number of the claim, or of the request if it was sent without one
 * @param replica the id of the replica
 */
public record SlotUse(String origin, String upstream, long number, String replica) {}
