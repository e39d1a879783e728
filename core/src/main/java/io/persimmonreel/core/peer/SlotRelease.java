package io.persimmonreel.core.peer;

/**
 * Returns a slot, or cancels a claim that was not granted.
 *
 * @param origin the address of the daemon that claimed the slot
 * @param upstream the upstream's name
 * @param number the number of the claim
 * @param replica the id of the replica, empty if the claim is cancelled
 * @param runMicros the time from sending the request to the end of its response in microseconds, 0
 *     if there was no complete response
 */
public record SlotRelease(
        String origin, String upstream, long number, String replica, long runMicros) {}
