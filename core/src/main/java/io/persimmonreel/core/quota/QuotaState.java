package io.persimmonreel.core.quota;

/**
 * Describes the quota of one customer as this daemon sees it, to explain a refusal.
 *
 * @param ratePerSecond the enforced rate in units per second
 * @param burst the most units that may be left
 * @param level the units that are left, negative for a debt
 * @param reachableShare the share of the fleet that this daemon hears from, from 0 to 1
 */
public record QuotaState(double ratePerSecond, double burst, double level, double reachableShare) {}
