package io.persimmonreel.core.quota;

/**
 * Describes the quota of one customer as this daemon sees it, to explain a refusal.
 *
 * @param ratePerSecond the units that accrue in a second in the whole fleet
 * @param level the unspent units at this daemon
 * @param claimed the units of the claims that wait at this daemon
 * @param share the share of the fleet's units that accrues at this daemon, from 0 to 1
 * @param inflowShare the share that accrues at this daemon and those that it is connected with,
 *     from 0 to 1
 */
public record QuotaState(
        double ratePerSecond, long level, long claimed, double share, double inflowShare) {}
