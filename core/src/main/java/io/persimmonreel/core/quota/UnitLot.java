package io.persimmonreel.core.quota;

/**
 * Holds units of a customer's quota that expire at the same time.
 *
 * @param units the number of units
 * @param expiryNanos when the units expire, as monotonic time of this daemon in nanoseconds
 */
record UnitLot(long units, long expiryNanos) {}
