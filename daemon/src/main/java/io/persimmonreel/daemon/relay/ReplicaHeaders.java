package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.ratelimit.RateLimitStatement;

/**
 * Holds the decoded header fields of a replica's response.
 *
 * @param attemptId the id of the attempt that the response belongs to, null if missing
 * @param notRun whether the replica states that it did not run the request
 * @param genuine whether the response carries the proof that a replica created it, or the dialect
 *     has no such proof
 * @param load the number of running and waiting requests at the replica, negative if not declared
 * @param rateLimit the rate limit that the replica advertises
 * @param leaving whether the replica says that it is leaving
 * @param retryAfterNanos the time for which the replica wants no requests if it turned this one
 *     away, in nanoseconds, 0 if not stated
 */
public record ReplicaHeaders(
        String attemptId,
        boolean notRun,
        boolean genuine,
        int load,
        RateLimitStatement rateLimit,
        boolean leaving,
        long retryAfterNanos) {}
