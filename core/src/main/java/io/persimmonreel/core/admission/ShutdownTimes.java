package io.persimmonreel.core.admission;

/**
 * Holds the times of a shutdown, as monotonic time in nanoseconds.
 *
 * @param balancersReactedNanos when load balancers direct callers to other daemons
 * @param processEndNanos when the process ends
 */
public record ShutdownTimes(long balancersReactedNanos, long processEndNanos) {}
