package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.RateLimitedWait;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.RateLimitNotice;
import io.persimmonreel.core.peer.RateLimitState;
import io.persimmonreel.core.ratelimit.AdvertisedRateLimit;
import io.persimmonreel.core.ratelimit.RateLimitStatement;
import io.persimmonreel.core.ratelimit.RateShares;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps requests within the rate limits that replicas advertise, and tells the other daemons of
 * them. Not thread safe.
 */
final class ReplicaRateLimits {
    /** The maximum number of limits in a notice, which fit into a frame. */
    private static final int MAXIMUM_LIMITS = 1_024;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final ReplicaRegistry mReplicas;
    private final RelayLog mLog;
    private final ColdReplicaLimits mColdReplicas;
    private RateShares mShares = RateShares.whole();
    private Consumer<PeerMessage> mNoticeConsumer = notice -> {};

    ReplicaRateLimits(final ReplicaRegistry replicas, final RelayLog log) {
        mReplicas = replicas;
        mLog = log;
        mColdReplicas = new ColdReplicaLimits(log);
    }

    /** Returns the limits of replicas that are cold, whose permits are needed too. */
    ColdReplicaLimits coldReplicas() {
        return mColdReplicas;
    }

    /** Sets the consumer that sends notices to other daemons. */
    void sendNoticesTo(final Consumer<PeerMessage> consumer) {
        mNoticeConsumer = consumer;
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

    /**
     * Returns how long a request waits for the replicas that lack a permit or pushed requests back.
     */
    RateLimitedWait waitFor(
            final RelayCall call, final List<Replica> replicas, final long nowNanos) {
        final RateLimitedWait wait = new RateLimitedWait();
        for (final Replica replica : replicas) {
            final double openMillis = replica.waitMillis(nowNanos);
            if (Double.isInfinite(openMillis)
                    || call.excludedReplicas().contains(replica.entry().id())) {
                continue;
            }
            if (!hasPermit(replica, nowNanos)) {
                addWait(wait, openMillis, replica, nowNanos);
            } else if (openMillis > 0) {
                wait.add(openMillis, 0, requestsPerSecond(replica));
            }
        }
        return wait;
    }

    private void addWait(
            final RateLimitedWait wait,
            final double openMillis,
            final Replica replica,
            final long nowNanos) {
        final AdvertisedRateLimit limit = replica.rateLimit();
        final double share = share(replica);
        final double perSecond =
                limit.isLimiting() ? share * limit.perSecond() : Double.POSITIVE_INFINITY;
        wait.add(
                openMillis,
                Math.max(
                        limit.waitMillis(share, nowNanos),
                        mColdReplicas.waitMillis(replica, nowNanos)),
                Math.min(perSecond, mColdReplicas.perSecond(replica, nowNanos)));
    }

    private static double requestsPerSecond(final Replica replica) {
        return replica.entry().slots()
                * MILLIS_PER_SECOND
                / replica.serviceMillis(MILLIS_PER_SECOND);
    }

    void onSent(final Replica replica, final long nowNanos) {
        mColdReplicas.onSent(replica, nowNanos);
        if (replica.rateLimit().isLimiting()) {
            replica.rateLimit().onSent(share(replica), nowNanos);
        }
    }

    /** Applies what the response to a request states. */
    void onResponse(
            final Dispatch dispatch, final RateLimitStatement statement, final long nowNanos) {
        final Replica replica = dispatch.replica();
        if (replica.rateLimit().onResponse(statement, dispatch.sentNanos(), nowNanos)) {
            mLog.rateLimit(replica, share(replica), "response");
            mNoticeConsumer.accept(new RateLimitNotice(List.of(state(replica, nowNanos))));
        }
    }

    void onNotice(final RateLimitNotice notice, final long nowNanos) {
        for (final RateLimitState state : notice.limits()) {
            final Optional<Replica> replica =
                    mReplicas
                            .find(state.replica())
                            .filter(r -> r.entry().startedMillis() == state.startedMillis());
            final long age = TimeUnit.MILLISECONDS.toNanos(Math.max(0, state.ageMillis()));
            if (replica.isPresent()
                    && replica.get()
                            .rateLimit()
                            .onPeerReport(
                                    state.limited(), state.perSecond(), nowNanos - age, nowNanos)) {
                mLog.rateLimit(replica.get(), share(replica.get()), "peer");
            }
        }
    }

    /**
     * Returns the limits of which this daemon has a share. They are repeated for the daemons
     * without one, which can't hear a limit themselves.
     */
    Optional<RateLimitNotice> notice(final long nowNanos) {
        final List<RateLimitState> limits =
                mReplicas.all().stream()
                        .filter(replica -> replica.rateLimit().isStated() && share(replica) > 0)
                        .limit(MAXIMUM_LIMITS)
                        .map(replica -> state(replica, nowNanos))
                        .toList();
        return limits.isEmpty() ? Optional.empty() : Optional.of(new RateLimitNotice(limits));
    }

    private static RateLimitState state(final Replica replica, final long nowNanos) {
        final AdvertisedRateLimit limit = replica.rateLimit();
        return new RateLimitState(
                replica.entry().id(),
                replica.entry().startedMillis(),
                limit.isStated(),
                limit.perSecond(),
                limit.ageMillis(nowNanos));
    }

    private boolean hasPermit(final Replica replica, final long nowNanos) {
        final AdvertisedRateLimit limit = replica.rateLimit();
        return (!limit.isLimiting() || limit.waitMillis(share(replica), nowNanos) <= 0)
                && mColdReplicas.waitMillis(replica, nowNanos) <= 0;
    }

    /** Returns this daemon's share; all daemons have one while an ended limit is lifted. */
    private double share(final Replica replica) {
        final AdvertisedRateLimit limit = replica.rateLimit();
        return mShares.share(
                replica.idHash(), limit.isStated() ? limit.perSecond() : Double.POSITIVE_INFINITY);
    }
}
