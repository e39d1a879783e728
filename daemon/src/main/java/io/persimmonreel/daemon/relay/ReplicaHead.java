package io.persimmonreel.daemon.relay;

/**
 * Holds what a replica says of its answer.
 *
 * @param attemptId the id of the attempt that is answered, null if missing
 * @param notRun whether the replica states that it did not run the request
 * @param genuine whether the answer bears what shows that a replica made it
 * @param load running and waiting requests at the replica, negative if not said
 */
public record ReplicaHead(String attemptId, boolean notRun, boolean genuine, int load) {}
