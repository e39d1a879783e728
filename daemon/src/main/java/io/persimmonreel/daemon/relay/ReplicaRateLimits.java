package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.ratelimit.AdvertisedRateLimit;
import io.persimmonreel.core.ratelimit.RateLimitStatement;
import io.persimmonreel.core.ratelimit.RateLimitedWait;
import io.persimmonreel.core.ratelimit.RateShares;
import io.persimmonreel.core.replica.Replica;
import java.util.List;

/** Keeps requests within the rate limits that replicas advertise. Not thread safe. */
final class ReplicaRateLimits {
    private final RelayLog mLog;
    private RateShares mShares = RateShares.WHOLE;

    ReplicaRateLimits(final RelayLog log) {
        mLog = log;
    }

    void onShares(final RateShares shares) {
        mShares = shares;
    }

    /** Returns the replicas that a request may be sent to now. */
    List<Replica> withPermit(final List<Replica> replicas, final long nowNanos) {
        return replicas.stream().allMatch(replica -> hasPermit(replica, nowNanos))
                ? replicas
                : replicas.stream().filter(replica -> hasPermit(replica, nowNanos)).toList();
    }

    /** Returns how long a request waits for the replicas that only lack a permit. */
    RateLimitedWait waitFor(
            final RelayCall call, final List<Replica> replicas, final long nowNanos) {
        final RateLimitedWait wait = new RateLimitedWait();
        for (final Replica replica : replicas) {
            if (!replica.entry().draining()
                    && !call.excludedReplicas().contains(replica.entry().id())
                    && !hasPermit(replica, nowNanos)) {
                final double share = share(replica);
                wait.add(
                        replica.rateLimit().waitMillis(share, nowNanos),
                        share * replica.rateLimit().perSecond());
            }
        }
        return wait;
    }

    void onSent(final Replica replica, final long nowNanos) {
        if (replica.rateLimit().isLimiting()) {
            replica.rateLimit().onSent(share(replica), nowNanos);
        }
    }

    /** Applies what the response to a request states. */
    void onResponse(
            final Dispatch dispatch, final RateLimitStatement statement, final long nowNanos) {
        final Replica replica = dispatch.replica();
        final AdvertisedRateLimit limit = replica.rateLimit();
        final long ageMillis = limit.ageMillis(nowNanos);
        if (limit.onResponse(statement, dispatch.sentNanos(), nowNanos)) {
            if (limit.isStated()) {
                mLog.rateLimitStated(replica, share(replica));
            } else {
                mLog.rateLimitEnded(replica, ageMillis);
            }
        }
    }

    private boolean hasPermit(final Replica replica, final long nowNanos) {
        final AdvertisedRateLimit limit = replica.rateLimit();
        return !limit.isLimiting() || limit.waitMillis(share(replica), nowNanos) <= 0;
    }

    private double share(final Replica replica) {
        return mShares.share(replica.idHash(), replica.rateLimit().perSecond());
    }
}
