package io.persimmonreel.core.quota;

import io.persimmonreel.core.peer.PeerMessage.MemberNames;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.quota.QuotaFleet.Request;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.warmup.ColdReplicas;
import io.persimmonreel.core.warmup.FleetNames;
import io.persimmonreel.core.warmup.WarmUpRate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Drives the limits of cold replicas at one daemon as the relay does. While there is demand, the
 * daemon has requests for each of the replicas.
 */
final class ColdReplicaDaemonModel implements QuotaFleet.DaemonModel {
    private static final int TIMER_MILLIS = 200;
    private static final int NAMES_MILLIS = 2_000;
    private static final double COLD_MILLIS = 1e9;

    private final QuotaFleet mFleet;
    private final int mIndex;
    private final QuotaDaemonModel mDaemon;
    private final FleetNames mNames = new FleetNames();
    private final ColdReplicas mReplicas = new ColdReplicas((replica, upstream, event) -> {});
    private final ColdArrivals mArrivals;

    private ColdReplicaDaemonModel(
            final QuotaFleet fleet,
            final int index,
            final WarmUpRate rate,
            final ColdArrivals arrivals,
            final long nowNanos) {
        mFleet = fleet;
        mIndex = index;
        mDaemon = QuotaDaemonModel.create(fleet, index, QuotaTolerance.NONE, nowNanos);
        mArrivals = arrivals;
        mReplicas.onRates(Map.of("model", rate), nowNanos);
        final List<ReplicaEntry> entries = new ArrayList<>();
        for (int i = 0; i < arrivals.replicas(); i++) {
            entries.add(
                    new ReplicaEntry(
                            replica(i), "model", "10.1.0.1", 80, "zone", 8, false, 1, COLD_MILLIS));
        }
        mReplicas.onEntries(entries, nowNanos);
    }

    static QuotaFleet.DaemonFactory factory(final WarmUpRate rate, final ColdArrivals arrivals) {
        return (fleet, index, nowNanos) ->
                new ColdReplicaDaemonModel(fleet, index, rate, arrivals, nowNanos);
    }

    private static String replica(final int index) {
        return "replica-" + index;
    }

    @Override
    public boolean isLinkedTo(final int peer) {
        return mDaemon.isLinkedTo(peer);
    }

    @Override
    public void onTick(final long nowNanos) {
        mDaemon.onTick(nowNanos);
        if (mFleet.nowMillis() % TIMER_MILLIS == 0) {
            updateShares(nowNanos);
        }
        if (mFleet.nowMillis() % NAMES_MILLIS == 0 && mDaemon.isHub()) {
            final List<String> names = new ArrayList<>(mDaemon.fleetShare().members());
            names.add(QuotaDaemonModel.name(mIndex));
            mDaemon.partners()
                    .forEach(p -> mFleet.send(mIndex, (int) p.id(), 0, new MemberNames(names)));
        }
        for (int i = 0; i < mArrivals.replicas(); i++) {
            while (mArrivals.hasDemand() && mReplicas.waitMillis(replica(i), nowNanos) <= 0) {
                mReplicas.onSent(replica(i), nowNanos);
                mArrivals.add(i, mFleet.nowMillis());
            }
        }
    }

    @Override
    public void onMessage(final int from, final Object message, final long nowNanos) {
        mDaemon.onMessage(from, message, nowNanos);
        if (message instanceof MemberNames names) {
            mNames.onListed(names.members(), nowNanos);
        } else if (message instanceof UnitTransfer) {
            updateShares(nowNanos);
        }
    }

    private void updateShares(final long nowNanos) {
        mReplicas.onShares(
                mNames.shares(QuotaDaemonModel.name(mIndex), mDaemon.fleetShare(), nowNanos),
                nowNanos);
    }

    @Override
    public void onConnected(final int peer, final long nowNanos) {
        mDaemon.onConnected(peer, nowNanos);
    }

    @Override
    public void onDisconnected(final int peer, final long nowNanos) {
        mDaemon.onDisconnected(peer, nowNanos);
    }

    @Override
    public void onConfiguration(final long nowNanos) {
        mDaemon.onConfiguration(nowNanos);
    }

    @Override
    public void offer(final Request request, final long nowNanos) {
        mFleet.refuse(request);
    }

    @Override
    public boolean trySend(final Request request, final long nowNanos) {
        return false;
    }

    @Override
    public void drop(final Request request, final long nowNanos) {}
}
