package io.persimmonreel.daemon.relay;

/**
 * Holds the values of the header fields that the relay sets on a request to a replica.
 *
 * @param deadlineMillis the remaining time in milliseconds
 * @param replicaId the id of the replica that should run the request
 * @param customer the customer's name, null if the route needs no key
 * @param resumeAfter the id of the event after which the stream continues, null for a new stream
 */
public record DispatchHeaders(
        long deadlineMillis, String replicaId, String customer, String resumeAfter) {}
