package io.persimmonreel.core.schedule;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.service.Tier;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the load-shedding thresholds of one upstream: this daemon's own and those of its peers. A
 * threshold is the highest tier that lacks capacity; while it is in force, lower tiers wait and
 * their streams are paused, on all daemons.
 */
final class SheddingThreshold {
    private static final long THRESHOLD_LIFETIME_NANOS = 2_000_000_000L;
    private static final long PUBLISH_INTERVAL_NANOS = 500_000_000L;

    /** A tier is refused only after peers had this long to get the notice and pause lower tiers. */
    private static final long REFUSAL_DELAY_NANOS = 1_000_000_000L;

    private record PeerThreshold(Tier tier, long raisedNanos) {}

    private final String mUpstream;
    private final Map<Incarnation, PeerThreshold> mPeers = new HashMap<>();

    /** By tier: the time since when the own threshold has been at or above the tier. */
    private final long[] mRaisedNanos = new long[Tier.values().length];

    private Tier mOwn;
    private long mRenewedNanos;
    private long mPublishedNanos;

    SheddingThreshold(final String upstream) {
        mUpstream = upstream;
    }

    /**
     * Raises or renews this daemon's own threshold.
     *
     * @param tier the highest tier that lacks capacity
     * @param nowNanos the present time
     * @return a notice to publish, or empty if the same one was published recently
     */
    Optional<ShedNotice> raise(final Tier tier, final long nowNanos) {
        expire(nowNanos);
        final boolean changed = mOwn != tier;
        if (mOwn == null) {
            setRaised(tier, Tier.BULK, nowNanos);
        } else if (tier.isHigherThan(mOwn)) {
            for (int i = tier.ordinal(); i < mOwn.ordinal(); i++) {
                mRaisedNanos[i] = nowNanos;
            }
        }
        mOwn = tier;
        mRenewedNanos = nowNanos;
        if (changed || nowNanos - mPublishedNanos >= PUBLISH_INTERVAL_NANOS) {
            mPublishedNanos = nowNanos;
            return Optional.of(new ShedNotice(mUpstream, tier, 0));
        }
        return Optional.empty();
    }

    private void setRaised(final Tier first, final Tier last, final long nowNanos) {
        for (int i = first.ordinal(); i <= last.ordinal(); i++) {
            mRaisedNanos[i] = nowNanos;
        }
    }

    /** Tells whether the threshold has been raised long enough to refuse requests of a tier. */
    boolean isRefusalAllowed(final Tier tier, final long nowNanos) {
        expire(nowNanos);
        return mOwn != null
                && !tier.isHigherThan(mOwn)
                && nowNanos - mRaisedNanos[tier.ordinal()] >= REFUSAL_DELAY_NANOS;
    }

    void onNotice(final Incarnation from, final ShedNotice notice, final long nowNanos) {
        mPeers.put(
                from, new PeerThreshold(notice.tier(), nowNanos - notice.ageMillis() * 1_000_000L));
    }

    /**
     * Returns the threshold in force.
     *
     * @param nowNanos the present time
     * @return the highest tier that lacks capacity on any daemon, or null if there is none
     */
    Tier inForce(final long nowNanos) {
        expire(nowNanos);
        Tier tier = mOwn;
        if (!mPeers.isEmpty()) {
            mPeers.values()
                    .removeIf(
                            threshold ->
                                    nowNanos - threshold.raisedNanos() > THRESHOLD_LIFETIME_NANOS);
            for (final PeerThreshold threshold : mPeers.values()) {
                tier =
                        tier == null || threshold.tier().isHigherThan(tier)
                                ? threshold.tier()
                                : tier;
            }
        }
        return tier;
    }

    /** Returns this daemon's own threshold for its heartbeats. */
    Optional<ShedNotice> own(final long nowNanos) {
        expire(nowNanos);
        return mOwn == null
                ? Optional.empty()
                : Optional.of(
                        new ShedNotice(mUpstream, mOwn, (nowNanos - mRenewedNanos) / 1_000_000L));
    }

    private void expire(final long nowNanos) {
        if (mOwn != null && nowNanos - mRenewedNanos > THRESHOLD_LIFETIME_NANOS) {
            mOwn = null;
        }
    }
}
