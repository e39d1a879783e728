package io.persimmonreel.core.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Holds the slots of an upstream that are in use, and predicts when they become free.
 *
 * <p>A release takes two ways through the hubs until the next request arrives. At full load and 5
 * ms per hop, slots would be idle for a quarter of the time. So a slot is free for a request that
 * arrives after nearly all requests of that age have ended. Not thread safe.
 */
final class SlotLeases {
    /** A lease that is not renewed ends after this time; claimants renew within a second. */
    static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The load that a replica states loses its weight within this time. */
    private static final long STATED_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Releases may be sent a few milliseconds after the end, beside the transit. */
    private static final long LATE_RELEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<ClaimKey, Lease> mLeases = new HashMap<>();
    private final Map<String, StatedExcess> mStated = new HashMap<>();
    private final RunTimes mRuns = new RunTimes();
    private final EndMargin mMargin = new EndMargin();
    private final Transits mTransits = new Transits();

    /** Contains the requests at a replica beyond the leases at one time. */
    private record StatedExcess(int requests, long nanos) {}

    RunTimes runs() {
        return mRuns;
    }

    double transitMillis(final String origin) {
        return mTransits.nanos(origin) / NANOS_PER_MILLI;
    }

    long transitNanos(final String origin) {
        return mTransits.nanos(origin);
    }

    long longestTransitNanos() {
        return mTransits.longestNanos();
    }

    int size() {
        return mLeases.size();
    }

    Lease find(final ClaimKey key) {
        return mLeases.get(key);
    }

    /**
     * Begins a lease.
     *
     * @param rank the priority rank of the request
     * @param slots the slots of the replica
     */
    void grant(
            final ClaimKey key,
            final int rank,
            final String replica,
            final int slots,
            final long nowNanos) {
        final long arrival = nowNanos + mTransits.nanos(key.origin());
        final boolean isEarly = leased(replica) >= slots;
        mLeases.put(
                key,
                new Lease(key.origin(), replica, arrival, nowNanos, nowNanos, isEarly, true, rank));
    }

    void onUse(final ClaimKey key, final String replica, final long nowNanos) {
        final Lease known = mLeases.get(key);
        mLeases.put(
                key,
                known != null && known.replica().equals(replica)
                        ? known.renewed(nowNanos)
                        : new Lease(
                                key.origin(),
                                replica,
                                nowNanos,
                                nowNanos,
                                nowNanos,
                                false,
                                false,
                                0));
    }

    /**
     * Ends a lease.
     *
     * @param runMillis how long the request used the slot in milliseconds, 0 if unknown
     * @return the lease, empty if there was none
     */
    Optional<Lease> release(final ClaimKey key, final double runMillis, final long nowNanos) {
        final Lease lease = mLeases.remove(key);
        if (lease != null && lease.early()) {
            if (runMillis > 0) {
                mMargin.onServed(mRuns);
            } else {
                mMargin.onNotServed(mRuns);
            }
        }
        if (runMillis > 0) {
            mRuns.add(runMillis);
            if (lease != null && lease.granted()) {
                final double runNanos = runMillis * NANOS_PER_MILLI;
                mTransits.add(key.origin(), nowNanos - lease.grantedNanos() - runNanos);
            }
        }
        return Optional.ofNullable(lease);
    }

    void onStatedLoad(final String replica, final int requests, final long nowNanos) {
        final int excess = Math.max(0, requests - leased(replica));
        mStated.put(replica, new StatedExcess(excess, nowNanos));
    }

    void expire(final long nowNanos) {
        mLeases.values().removeIf(lease -> nowNanos - lease.renewedNanos() >= LEASE_NANOS);
        mStated.values().removeIf(stated -> nowNanos - stated.nanos() >= STATED_LIFETIME_NANOS);
    }

    /** Returns the slots of a replica in use when a request would arrive there after a transit. */
    int inUse(final String replica, final long transitNanos, final long nowNanos) {
        final long arrival = nowNanos + transitNanos;
        int used = 0;
        for (final Lease lease : mLeases.values()) {
            if (lease.replica().equals(replica) && !isFreeAt(lease, arrival, nowNanos)) {
                used++;
            }
        }
        return used + stated(replica, nowNanos);
    }

    /** Returns when the next slot is predicted to be free for a request of a daemon. */
    long nextNanos(final String origin, final long nowNanos) {
        long next = nowNanos + LEASE_NANOS;
        for (final Lease lease : mLeases.values()) {
            final long free = predictedEndNanos(lease) - mTransits.nanos(origin);
            if (free - nowNanos > 0 && free - next < 0) {
                next = free;
            }
        }
        return next;
    }

    private boolean isFreeAt(final Lease lease, final long arrival, final long nowNanos) {
        final long end = predictedEndNanos(lease);
        // A request whose release is overdue runs longer than predicted and still has its slot.
        final long releaseNanos =
                lease.arrivalNanos()
                        + nanos(mRuns.upperMillis())
                        + mTransits.nanos(lease.origin())
                        + LATE_RELEASE_NANOS;
        return arrival - end >= 0 && nowNanos - releaseNanos < 0;
    }

    private long predictedEndNanos(final Lease lease) {
        final double run = mRuns.meanMillis() + mMargin.millis(mRuns);
        return lease.arrivalNanos() + nanos(lease.granted() ? run : Double.POSITIVE_INFINITY);
    }

    private static long nanos(final double millis) {
        return Math.min(2 * LEASE_NANOS, Math.round(millis * NANOS_PER_MILLI));
    }

    private int leased(final String replica) {
        return (int) mLeases.values().stream().filter(l -> l.replica().equals(replica)).count();
    }

    private int stated(final String replica, final long nowNanos) {
        final StatedExcess stated = mStated.get(replica);
        if (stated == null) {
            return 0;
        }
        final double age = (double) (nowNanos - stated.nanos()) / STATED_LIFETIME_NANOS;
        return (int) Math.round(stated.requests() * Math.max(0, 1.0 - age));
    }
}
