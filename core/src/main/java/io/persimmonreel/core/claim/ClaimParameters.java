package io.persimmonreel.core.claim;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.request.RequestIdentity;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Holds the parameters of the claim protocol, derived from the accepted configuration.
 *
 * @param maximumDaemons the maximum number of daemons that run at one time in a claim group
 * @param claimGroups the number of claim groups
 * @param quorum the number of grants needed for a claim on a key that no daemon issued
 * @param skewMillis the maximum difference between any two daemons' wall clocks
 * @param opaqueUptimeNanos the continuous uptime that a member needs to grant an opaque key
 * @param timedRetentionNanos how long an entry for a UUIDv7 or issued key is kept
 * @param opaqueRetentionNanos how long an entry for an opaque key is kept
 */
record ClaimParameters(
        int maximumDaemons,
        int claimGroups,
        int quorum,
        long skewMillis,
        long opaqueUptimeNanos,
        long timedRetentionNanos,
        long opaqueRetentionNanos) {
    /**
     * Derives the parameters from a configuration. Retention never shrinks, because entries made
     * under the earlier configuration must be kept for the longer time.
     */
    static ClaimParameters of(final Configuration configuration, final ClaimParameters earlier) {
        final FleetSpec fleet = configuration.fleet();
        final long deadline =
                configuration.services().values().stream()
                        .map(service -> service.deadline())
                        .mapToLong(Duration::toNanos)
                        .max()
                        .orElse(0L);
        final long repeat = fleet.opaqueKeyRepeat().toNanos();
        final long timed =
                TimeUnit.MILLISECONDS.toNanos(ClaimLimits.KEY_MAX_AGE_MILLIS)
                        + 2 * fleet.clockSkew().toNanos()
                        + deadline;
        final long opaque = repeat + 2 * deadline;
        return new ClaimParameters(
                fleet.maximumDaemons(),
                Math.max(1, fleet.claimGroups()),
                fleet.claimQuorum(),
                fleet.clockSkew().toMillis(),
                repeat + deadline,
                earlier == null ? timed : Math.max(timed, earlier.timedRetentionNanos),
                earlier == null ? opaque : Math.max(opaque, earlier.opaqueRetentionNanos));
    }

    /** Tells whether both assign the same members and identities to each claim group. */
    boolean hasSameGrouping(final ClaimParameters other) {
        return maximumDaemons == other.maximumDaemons && claimGroups == other.claimGroups;
    }

    long retentionNanos(final boolean opaque) {
        return opaque ? opaqueRetentionNanos : timedRetentionNanos;
    }

    /** Returns how long a member may ask about an attempt after its end. */
    long longestRetentionNanos() {
        return Math.max(opaqueRetentionNanos, timedRetentionNanos);
    }

    int groupOf(final RequestIdentity identity) {
        // The result of String.hashCode is specified, so all daemons compute the same group.
        final int hash =
                (identity.customer().hashCode() * 31 + identity.service().hashCode()) * 31
                        + identity.key().hashCode();
        return Math.floorMod(hash ^ (hash >>> 16), claimGroups);
    }

    int groupOf(final int slot) {
        return Math.floorMod(slot, claimGroups);
    }
}
