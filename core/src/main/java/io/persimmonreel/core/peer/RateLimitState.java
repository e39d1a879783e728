package io.persimmonreel.core.peer;

/**
 * Describes the rate limit of one start of a replica.
 *
 * @param replica the replica's id
 * @param startedMillis when it started, milliseconds since the Unix epoch, 0 if unknown
 * @param limited whether it states a limit; false if a response stated none
 * @param perSecond the last limit in requests per second from all daemons together
 * @param ageMillis the time since that response, in milliseconds
 */
public record RateLimitState(
        String replica, long startedMillis, boolean limited, double perSecond, long ageMillis) {}
