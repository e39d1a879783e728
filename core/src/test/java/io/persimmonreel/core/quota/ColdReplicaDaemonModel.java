package io.persimmonreel.core.quota;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.MemberNames;
import io.persimmonreel.core.peer.PeerMessage.ReplicaCrashNotice;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.peer.ReplicaCrash;
import io.persimmonreel.core.quota.QuotaFleet.Request;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.warmup.ColdReplicas;
import io.persimmonreel.core.warmup.ColdReplicas.Crash;
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

    /** The requests per second that each warm replica gets from all daemons together. */
    private static final double WARM_PER_SECOND = 20;

    /** The time for which a request runs, so that its daemon sees a crash. */
    private static final int RUN_MILLIS = 200;

    private final QuotaFleet mFleet;
    private final int mIndex;
    private final QuotaDaemonModel mDaemon;
    private final FleetNames mNames = new FleetNames();
    private final ColdReplicas mReplicas = new ColdReplicas((replica, upstream, event) -> {});
    private final ColdArrivals mArrivals;
    private final ReplicaStarts mStarts;
    private final int mEntryDelayMillis;
    private final int[] mLastSentMillis;
    private boolean mHasSeenCrash;
    private boolean mHasNewEntries;

    private ColdReplicaDaemonModel(
            final QuotaFleet fleet,
            final int index,
            final WarmUpRate rate,
            final ColdArrivals arrivals,
            final ReplicaStarts starts,
            final long nowNanos) {
        mStarts = starts;
        mEntryDelayMillis = starts.entryDelayMillis();
        mLastSentMillis = new int[arrivals.replicas()];
        mFleet = fleet;
        mIndex = index;
        mDaemon = QuotaDaemonModel.create(fleet, index, QuotaTolerance.NONE, nowNanos);
        mArrivals = arrivals;
        mReplicas.onRates(Map.of("model", rate), nowNanos);
        readEntries(1, starts.firstWarmUpMillis(), nowNanos);
    }

    private void readEntries(
            final long startedMillis, final double warmUpMillis, final long nowNanos) {
        final List<ReplicaEntry> entries = new ArrayList<>();
        for (int i = 0; i < mArrivals.replicas(); i++) {
            entries.add(
                    new ReplicaEntry(
                            replica(i),
                            "model",
                            "10.1.0.1",
                            80,
                            "zone",
                            8,
                            false,
                            startedMillis,
                            warmUpMillis,
                            ""));
        }
        mReplicas.onEntries(entries, nowNanos);
    }

    static QuotaFleet.DaemonFactory factory(
            final WarmUpRate rate, final ColdArrivals arrivals, final ReplicaStarts starts) {
        return (fleet, index, nowNanos) ->
                new ColdReplicaDaemonModel(fleet, index, rate, arrivals, starts, nowNanos);
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
        final int now = mFleet.nowMillis();
        final boolean seesCrash = !mHasSeenCrash && mStarts.hasCrashed(now);
        mHasSeenCrash |= seesCrash;
        for (int i = 0; i < mArrivals.replicas(); i++) {
            if (seesCrash && now - mLastSentMillis[i] < RUN_MILLIS) {
                onCrash(i, nowNanos);
            }
            sendTo(i, nowNanos);
        }
        if (!mHasNewEntries && now - mEntryDelayMillis >= mStarts.upMillis()) {
            mHasNewEntries = true;
            readEntries(2, mStarts.warmUpMillis(), nowNanos);
        }
    }

    private void sendTo(final int replica, final long nowNanos) {
        final String id = replica(replica);
        if (!mArrivals.hasDemand()) {
            return;
        }
        if (mReplicas.isCold(id, nowNanos)) {
            while (mReplicas.waitMillis(id, nowNanos) <= 0) {
                send(replica, nowNanos);
            }
        } else if (mStarts.random().nextDouble()
                < WARM_PER_SECOND * QuotaFleet.STEP_MILLIS / 1_000 / mFleet.size()) {
            send(replica, nowNanos);
        }
    }

    private void send(final int replica, final long nowNanos) {
        mReplicas.onSent(replica(replica), nowNanos);
        mLastSentMillis[replica] = mFleet.nowMillis();
        if (mStarts.isDown(mFleet.nowMillis())) {
            onCrash(replica, nowNanos);
        } else {
            mArrivals.add(replica, mFleet.nowMillis());
        }
    }

    private void onCrash(final int replica, final long nowNanos) {
        if (mReplicas.onCrash(new Crash(replica(replica), 1, nowNanos), true, nowNanos)) {
            tell(new ReplicaCrashNotice(List.of(new ReplicaCrash(replica(replica), 1, 0))), -1);
        }
    }

    /** Sends a notice as the relay does: a hub passes on what a leaf sent, and a hub to leaves. */
    private void tell(final ReplicaCrashNotice notice, final int from) {
        for (final Incarnation peer : mDaemon.partners()) {
            if (peer.id() != from && (from < 0 || !mDaemon.isHub(from) || !isHub(peer))) {
                mFleet.send(mIndex, (int) peer.id(), 0, notice);
            }
        }
    }

    private boolean isHub(final Incarnation peer) {
        return mDaemon.isHub((int) peer.id());
    }

    @Override
    public void onMessage(final int from, final Object message, final long nowNanos) {
        mDaemon.onMessage(from, message, nowNanos);
        if (message instanceof MemberNames names) {
            mNames.onListed(names.members(), nowNanos);
        } else if (message instanceof ReplicaCrashNotice notice) {
            notice.crashes()
                    .forEach(
                            crash ->
                                    mReplicas.onCrash(
                                            new Crash(crash.replica(), 1, nowNanos),
                                            false,
                                            nowNanos));
            if (mDaemon.isHub()) {
                tell(notice, from);
            }
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
