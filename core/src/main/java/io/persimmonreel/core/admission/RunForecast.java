package io.persimmonreel.core.admission;

/**
 * Predicts how long a response takes from the time at which its request gets a slot. Immutable.
 *
 * @param firstMillis the time to the first event, or to the response of a plain service, in
 *     milliseconds
 * @param totalMillis the time to the end of the response in milliseconds
 */
public record RunForecast(double firstMillis, double totalMillis) {}
