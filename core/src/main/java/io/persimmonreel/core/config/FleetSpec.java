package io.persimmonreel.core.config;

import java.time.Duration;
import java.util.List;

/**
 * Describes the fleet of daemons.
 *
 * @param name the fleet's name, which daemons compare when they connect
 * @param maximumDaemons the most daemons of one claim group that may run at the same time
 * @param claimGroups the number of claim groups
 * @param clockSkew the largest difference between the clocks of any two daemons
 * @param opaqueKeyRepeat the longest time over which a caller repeats a request under an
 *     idempotency key that contains no time
 * @param zones the availability zones
 */
public record FleetSpec(
        String name,
        int maximumDaemons,
        int claimGroups,
        Duration clockSkew,
        Duration opaqueKeyRepeat,
        List<String> zones) {
    /** Copies the list of zones. */
    public FleetSpec {
        zones = List.copyOf(zones);
    }

    /**
     * Returns how many daemons must grant a claim, so that any two sets of that size overlap.
     *
     * @return the smallest number above half of {@code maximumDaemons}
     */
    public int claimQuorum() {
        return maximumDaemons / 2 + 1;
    }
}
