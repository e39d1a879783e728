package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.ReplicaCrashNotice;
import io.persimmonreel.core.peer.ReplicaCrash;
import io.persimmonreel.core.quota.FleetShare;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayUpstream;
import io.persimmonreel.core.warmup.ColdReplicaEvent;
import io.persimmonreel.core.warmup.ColdReplicas;
import io.persimmonreel.core.warmup.ColdReplicas.Crash;
import io.persimmonreel.core.warmup.FleetNames;
import io.persimmonreel.core.warmup.WarmUpBound;
import io.persimmonreel.core.warmup.WarmUpRate;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps requests to cold replicas within the bound of the settings, and tells the other daemons of
 * replicas that crashed. Without a bound, or without a warm-up of the upstream, nothing is limited.
 * Not thread safe.
 */
final class ColdReplicaLimits {
    /** The maximum number of crashes in a notice, which fit into a frame. */
    private static final int MAXIMUM_CRASHES = 1_024;

    private final RelayLog mLog;
    private final FleetNames mNames = new FleetNames();
    private final ColdReplicas mReplicas = new ColdReplicas(this::onEvent);
    private Consumer<PeerMessage> mNoticeConsumer = notice -> {};
    private Optional<WarmUpBound> mBound = Optional.empty();
    private Collection<RelayUpstream> mUpstreams = List.of();

    ColdReplicaLimits(final RelayLog log) {
        mLog = log;
    }

    /** Sets the consumer that sends notices to other daemons. */
    void sendNoticesTo(final Consumer<PeerMessage> consumer) {
        mNoticeConsumer = consumer;
    }

    void onBound(final Optional<WarmUpBound> bound, final long nowNanos) {
        mBound = bound;
        updateRates(nowNanos);
    }

    void onConfiguration(final RelayConfiguration configuration, final long nowNanos) {
        mUpstreams = configuration.upstreams();
        updateRates(nowNanos);
    }

    /** Applies what this daemon knows of the fleet. */
    void onFleet(final String self, final FleetShare fleet, final long nowNanos) {
        if (isLimiting()) {
            mReplicas.onShares(mNames.shares(self, fleet, nowNanos), nowNanos);
        }
    }

    /** Adds the daemons that a hub lists. */
    void onNames(final Collection<String> names, final long nowNanos) {
        mNames.onListed(names, nowNanos);
    }

    /** Returns whether the replicas of an upstream have a bound. */
    boolean isLimiting() {
        return mBound.isPresent()
                && mUpstreams.stream().anyMatch(upstream -> upstream.warmUp().isPresent());
    }

    void onEntries(final Collection<ReplicaEntry> entries, final long nowNanos) {
        mReplicas.onEntries(entries, nowNanos);
    }

    /** Applies a crash that this daemon observed, and tells the others if it is news. */
    void onCrash(final Replica replica, final long crashNanos, final long nowNanos) {
        final Crash crash =
                new Crash(replica.entry().id(), replica.entry().startedMillis(), crashNanos);
        if (mReplicas.onCrash(crash, true, nowNanos)) {
            mNoticeConsumer.accept(notice(List.of(crash), nowNanos));
        }
    }

    void onNotice(final ReplicaCrashNotice notice, final long nowNanos) {
        for (final ReplicaCrash crash : notice.crashes()) {
            final long age = TimeUnit.MILLISECONDS.toNanos(Math.max(0, crash.ageMillis()));
            mReplicas.onCrash(
                    new Crash(crash.replica(), crash.startedMillis(), nowNanos - age),
                    false,
                    nowNanos);
        }
    }

    void onResponse(final Dispatch dispatch, final long nowNanos) {
        if (dispatch.exchange() != null) {
            mReplicas.onResponse(
                    dispatch.replica().entry().id(), dispatch.exchange().sentNanos(), nowNanos);
        }
    }

    /**
     * Returns the crashes of replicas that have not announced a new start, empty if there are none.
     *
     * @param observedOnly whether only those are included that this daemon observed itself
     * @param nowNanos the current monotonic time in nanoseconds
     */
    Optional<ReplicaCrashNotice> notice(final boolean observedOnly, final long nowNanos) {
        final List<Crash> crashes = mReplicas.crashes(observedOnly, nowNanos);
        return crashes.isEmpty() ? Optional.empty() : Optional.of(notice(crashes, nowNanos));
    }

    double waitMillis(final Replica replica, final long nowNanos) {
        return mReplicas.waitMillis(replica.entry().id(), nowNanos);
    }

    double perSecond(final Replica replica, final long nowNanos) {
        return mReplicas.perSecond(replica.entry().id(), nowNanos);
    }

    void onSent(final Replica replica, final long nowNanos) {
        mReplicas.onSent(replica.entry().id(), nowNanos);
    }

    /** Returns whether the request of a dispatch may be written; if not, it is placed again. */
    boolean tryWrite(final Dispatch dispatch, final long nowNanos) {
        return mReplicas.tryWrite(dispatch.replica().entry().id(), dispatch.sentNanos(), nowNanos);
    }

    private static ReplicaCrashNotice notice(final List<Crash> crashes, final long nowNanos) {
        return new ReplicaCrashNotice(
                crashes.stream()
                        .limit(MAXIMUM_CRASHES)
                        .map(
                                crash ->
                                        new ReplicaCrash(
                                                crash.replica(),
                                                crash.startedMillis(),
                                                TimeUnit.NANOSECONDS.toMillis(
                                                        nowNanos - crash.crashNanos())))
                        .toList());
    }

    private void updateRates(final long nowNanos) {
        final Map<String, WarmUpRate> rates = new HashMap<>();
        for (final RelayUpstream upstream : mUpstreams) {
            if (mBound.isPresent() && upstream.warmUp().isPresent()) {
                rates.put(
                        upstream.name(),
                        WarmUpRate.of(mBound.get(), upstream.warmUp().get().requestsPerSecond()));
            }
        }
        mReplicas.onRates(rates, nowNanos);
    }

    private void onEvent(
            final String replica, final String upstream, final ColdReplicaEvent event) {
        mLog.coldReplica(replica, upstream, event, mReplicas.count());
    }
}
