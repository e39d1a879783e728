package io.persimmonreel.core.peer;

/**
 * States the place of a waiting claim in the queue of its granter, so that a refusal can be
 * explained where the request is. Decides nothing.
 *
 * @param origin the address of the daemon that claimed the slot
 * @param number the number of the claim
 * @param upstream the upstream's name
 * @param ahead the claims that are served before it
 * @param aheadOfLowerRank how many of them have a lower priority rank
 * @param waiting the claims that wait, this one included
 * @param granted the slots that are granted
 * @param slots the slots that may be granted
 */
public record SlotPlace(
        String origin,
        long number,
        String upstream,
        int ahead,
        int aheadOfLowerRank,
        int waiting,
        int granted,
        int slots) {}
