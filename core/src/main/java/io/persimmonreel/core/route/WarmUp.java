package io.persimmonreel.core.route;

/**
 * Describes what the replicas of an upstream take after a start, while they are cold.
 *
 * @param millis the time for which a replica is cold after it has started, in milliseconds
 * @param requestsPerSecond the requests per second that a cold replica takes from all daemons
 *     together
 */
public record WarmUp(double millis, double requestsPerSecond) {}
