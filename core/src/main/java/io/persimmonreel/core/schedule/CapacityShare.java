package io.persimmonreel.core.schedule;

import io.persimmonreel.core.peer.Incarnation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes how many slots of an upstream this daemon may use. The capacity is divided among the
 * daemons in proportion to their demand.
 */
final class CapacityShare {
    /**
     * The part of a lost member's share that stays reserved. With 75%, both sides of a network
     * partition together overcommit the capacity by at most 25%.
     */
    private static final double LOST_MEMBER_RESERVE = 0.75;

    /** The least weight of a daemon, so that an idle one has slots before peers hear its demand. */
    private static final double MINIMUM_DEMAND = 1.0;

    /** Membership needs 5 s to tell a silent member from one that never existed. */
    private static final long MEMBERSHIP_SETTLE_NANOS = 5_000_000_000L;

    private final Incarnation mSelf;
    private final Map<Incarnation, Double> mDemand = new HashMap<>();
    private Set<Incarnation> mLive = Set.of();
    private int mUnconfirmed;
    private boolean mPeerLoadReceived;
    private boolean mMembersKnown;
    private long mMembersSinceNanos;

    CapacityShare(final Incarnation self) {
        mSelf = self;
    }

    void onPeer(final Incarnation from, final double demand) {
        mPeerLoadReceived = true;
        mDemand.put(from, demand);
    }

    void onMembers(final List<Incarnation> live, final int unconfirmed, final long nowNanos) {
        mLive = new HashSet<>(live);
        mLive.add(mSelf);
        mUnconfirmed = unconfirmed;
        if (unconfirmed == 0) {
            mDemand.keySet().retainAll(mLive);
        }
        if (!mMembersKnown) {
            mMembersKnown = true;
            mMembersSinceNanos = nowNanos;
        }
    }

    /**
     * Returns this daemon's slots.
     *
     * @param capacity the number of requests that the upstream can run at one time
     * @param ownDemand this daemon's running and waiting requests, weighted by tier
     * @param maximumDaemons the largest number of daemons in the fleet
     * @param nowNanos the present time
     * @return the most requests that this daemon may have in flight, at least 1
     */
    int allowance(
            final double capacity,
            final double ownDemand,
            final int maximumDaemons,
            final long nowNanos) {
        if (isStarting(maximumDaemons, nowNanos)) {
            return (int) Math.max(1, capacity / (2.0 * maximumDaemons));
        }
        final double own = Math.max(MINIMUM_DEMAND, ownDemand);
        double liveDemand = own;
        int unknownDemands = 0;
        for (final Incarnation member : mLive) {
            if (!member.equals(mSelf)) {
                final Double demand = mDemand.get(member);
                unknownDemands += demand == null ? 1 : 0;
                liveDemand += demand == null ? 0 : Math.max(MINIMUM_DEMAND, demand);
            }
        }
        final int knownDemands = Math.max(1, mLive.size() - unknownDemands);
        liveDemand += unknownDemands * liveDemand / knownDemands;
        final double lostDemand = lostDemand(liveDemand / Math.max(1, mLive.size()));
        final double available =
                capacity
                        * (liveDemand + (1 - LOST_MEMBER_RESERVE) * lostDemand)
                        / (liveDemand + lostDemand);
        return (int) Math.max(1, Math.round(available * own / liveDemand));
    }

    private double lostDemand(final double mean) {
        double lost = 0;
        int counted = 0;
        for (final Map.Entry<Incarnation, Double> entry : mDemand.entrySet()) {
            if (counted < mUnconfirmed && !mLive.contains(entry.getKey())) {
                lost += Math.max(MINIMUM_DEMAND, entry.getValue());
                counted++;
            }
        }
        return lost + (mUnconfirmed - counted) * mean;
    }

    private boolean isStarting(final int maximumDaemons, final long nowNanos) {
        return maximumDaemons > 1
                && !mPeerLoadReceived
                && (!mMembersKnown || nowNanos - mMembersSinceNanos < MEMBERSHIP_SETTLE_NANOS);
    }
}
