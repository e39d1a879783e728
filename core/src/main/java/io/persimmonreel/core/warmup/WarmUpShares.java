package io.persimmonreel.core.warmup;

import io.persimmonreel.core.ratelimit.RateShares;

/**
 * Divides the rates of cold replicas among the daemons.
 *
 * <p>{@link io.persimmonreel.core.quota.FleetShare} says which part of a rate belongs to the
 * daemons with the same knowledge of the fleet, and who they are. {@link RateShares} chooses among
 * them, for each replica, those that may send. The parts of groups add up to 1 at most, so the
 * senders and the rates of all groups add up to those of the {@link WarmUpRate}. Not thread safe.
 */
public final class WarmUpShares {
    /** The shares of a daemon that does not know the fleet; it sends nothing to cold replicas. */
    public static final WarmUpShares NONE = new WarmUpShares(RateShares.whole(), 0);

    /** Keeps a product such as 8 x 0.75 from being rounded down by an error of floating point. */
    private static final double ROUNDING = 1e-9;

    private final RateShares mShares;
    private final double mGroupShare;

    /**
     * Creates shares.
     *
     * @param shares the choice of the daemons that may send
     * @param groupShare the part of a rate that the daemons with the same knowledge divide, from 0
     *     to 1
     */
    public WarmUpShares(final RateShares shares, final double groupShare) {
        mShares = shares;
        mGroupShare = groupShare;
    }

    /**
     * Returns this daemon's rate for a cold replica.
     *
     * @param replicaHash the hash of the replica's id
     * @param rate the rate of all daemons together
     * @return the permits per second, 0 if this daemon may not send to the replica
     */
    public double perSecond(final long replicaHash, final WarmUpRate rate) {
        final int senders = senders(rate);
        return senders == 0
                ? 0
                : mShares.shareAmong(replicaHash, senders) * mGroupShare * rate.perSecond();
    }

    /**
     * Returns the permits with which this daemon begins when a replica becomes cold. They differ
     * among the senders, so that not all of them get their next permit at the same time.
     *
     * @param replicaHash the hash of the replica's id
     * @param rate the rate of all daemons together
     * @return a number from 0 to below 1
     */
    public double firstPermits(final long replicaHash, final WarmUpRate rate) {
        final int senders = senders(rate);
        return perSecond(replicaHash, rate) <= 0
                ? 0
                : (double) (mShares.position(replicaHash) % senders) / senders;
    }

    private int senders(final WarmUpRate rate) {
        return (int) Math.floor(rate.senders() * mGroupShare + ROUNDING);
    }
}
