package io.persimmonreel.core.schedule;

import io.persimmonreel.core.service.Tier;

/**
 * Decides whether a replica has a free slot for one more request of this daemon.
 *
 * @param capacityFraction this daemon's part of the upstream's capacity, from 0 to 1
 * @param reservedSlots the slots of each replica that are reserved for higher tiers
 */
record SlotPolicy(double capacityFraction, double reservedSlots) {
    /**
     * Tells whether the replica has a free slot. The peers' loads are up to 500 ms old, so urgent
     * requests may always use this daemon's part of the replica's slots, and other tiers may never
     * use more than that part.
     */
    boolean admits(final ReplicaState replica, final Tier tier, final long nowNanos) {
        final double limit = replica.limit(nowNanos);
        final boolean withinCapacityFraction =
                replica.ownInFlight() < Math.ceil(limit * capacityFraction);
        final boolean free = replica.occupancy(nowNanos) + 0.5 <= limit - reservedSlots;
        return tier == Tier.URGENT
                ? free || withinCapacityFraction
                : free && withinCapacityFraction;
    }
}
