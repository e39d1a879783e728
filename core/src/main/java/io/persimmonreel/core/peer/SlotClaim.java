package io.persimmonreel.core.peer;

import java.util.List;

/**
 * Claims a slot of an upstream for one request. A claim that is repeated renews the first one.
 *
 * @param origin the address of the daemon that has the request
 * @param upstream the upstream's name
 * @param number the number of the claim, unique at its origin
 * @param rank the priority rank of the request, 0 is the highest
 * @param objectiveMillis the time until which a response is on time, in milliseconds, negative if
 *     that is over
 * @param deadlineMillis the time until the deadline in milliseconds
 * @param excluded the ids of replicas that the request must not use
 */
public record SlotClaim(
        String origin,
        String upstream,
        long number,
        int rank,
        int objectiveMillis,
        int deadlineMillis,
        List<String> excluded) {}
