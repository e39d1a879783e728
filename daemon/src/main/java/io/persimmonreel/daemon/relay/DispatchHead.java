package io.persimmonreel.daemon.relay;

/**
 * Holds what a replica is told about a request.
 *
 * @param deadlineMillis the time that is left in milliseconds
 * @param replicaId the id of the replica that the request is meant for
 * @param customer the customer's name, null if the route needs no key
 * @param resumeAfter the id of the event after which the stream goes on, null for a new stream
 */
public record DispatchHead(
        long deadlineMillis, String replicaId, String customer, String resumeAfter) {}
