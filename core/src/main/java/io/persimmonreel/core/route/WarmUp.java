package io.persimmonreel.core.route;

/**
 * Describes what the replicas of an upstream take after a start, while they are cold. Their entries
 * say for how long that is.
 *
 * @param requestsPerSecond the requests per second that a cold replica takes from all daemons
 *     together
 */
public record WarmUp(double requestsPerSecond) {}
