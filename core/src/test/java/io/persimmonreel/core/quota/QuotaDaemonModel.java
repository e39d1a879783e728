package io.persimmonreel.core.quota;

import io.persimmonreel.core.membership.HubTopology;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.FleetMembers;
import io.persimmonreel.core.peer.PeerMessage.Standing;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.quota.QuotaFleet.Request;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Drives the quotas of one daemon as the relay does. */
final class QuotaDaemonModel implements QuotaFleet.DaemonModel, UnitRouting {
    private static final int SEEDS = 3;
    private static final long FIRST_START_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int TIMER_MILLIS = 40;
    private static final int MEMBERS_MILLIS = 1_600;

    private final QuotaFleet mFleet;
    private final int mIndex;
    private final FleetQuota mQuota;
    private final FleetShare mShare;
    private final UnitExchange mExchange;
    private final HubTopology mTopology;
    private final int mIntervalMillis;
    private final Set<Integer> mPeers = new HashSet<>();
    private boolean mKnowsFleet;

    private record Members(Set<Integer> members) {}

    private QuotaDaemonModel(
            final QuotaFleet fleet,
            final int index,
            final QuotaTolerance tolerance,
            final long nowNanos) {
        mFleet = fleet;
        mIndex = index;
        final List<String> others = new ArrayList<>();
        IntStream.range(0, fleet.size()).filter(i -> i != index).forEach(i -> others.add(name(i)));
        mTopology = new HubTopology(name(index), others);
        mIntervalMillis = mTopology.isMesh() ? 200 : 400;
        mQuota = new FleetQuota(tolerance, mTopology.isMesh() ? QuotaLife.MESH : QuotaLife.HUBS);
        mQuota.configure(List.of(fleet.customer()), nowNanos);
        mShare = new FleetShare(nowNanos < FIRST_START_NANOS, nowNanos, fleet.nowMillis());
        mShare.onSeeds(
                name(index),
                IntStream.range(0, Math.min(SEEDS, fleet.size()))
                        .mapToObj(QuotaDaemonModel::name)
                        .toList());
        mQuota.onShare(0, 0, nowNanos);
        mExchange =
                new UnitExchange(
                        mQuota,
                        mShare,
                        this,
                        (peer, message) -> fleet.send(index, (int) peer.id(), 0, message),
                        new UnitExchange.TransferObserver() {
                            @Override
                            public void onGiven(final String customer, final long units) {}

                            @Override
                            public void onReceived(final String customer, final long units) {}
                        });
    }

    static QuotaFleet.DaemonFactory factory(final QuotaTolerance tolerance) {
        return (fleet, index, nowNanos) -> create(fleet, index, tolerance, nowNanos);
    }

    static QuotaDaemonModel create(
            final QuotaFleet fleet,
            final int index,
            final QuotaTolerance tolerance,
            final long nowNanos) {
        return new QuotaDaemonModel(fleet, index, tolerance, nowNanos);
    }

    static String name(final int index) {
        return "10.0.0." + index + ":7600";
    }

    private static int index(final String name) {
        return Integer.parseInt(name.substring("10.0.0.".length(), name.indexOf(':')));
    }

    /** Returns what the daemon knows of the fleet. */
    FleetShare fleetShare() {
        return mShare;
    }

    boolean isHub() {
        return mTopology.isHub();
    }

    boolean isHub(final int index) {
        return mTopology.isHub(name(index));
    }

    @Override
    public boolean isLinkedTo(final int peer) {
        return mTopology.links().contains(name(peer));
    }

    @Override
    public void offer(final Request request, final long nowNanos) {
        mQuota.claim(
                mFleet.customer(),
                request.units(),
                request.attachment() != null,
                new QuotaClaim.Listener() {
                    @Override
                    public void onGranted(final QuotaPermit permit, final long grantedNanos) {
                        request.attach(permit);
                        mFleet.admit(mIndex, request);
                    }

                    @Override
                    public void onRefused(final ClaimRefusal refusal) {
                        mFleet.refuse(request);
                    }
                },
                nowNanos);
        mExchange.flush(nowNanos);
    }

    @Override
    public boolean trySend(final Request request, final long nowNanos) {
        return mQuota.spend((QuotaPermit) request.attachment(), nowNanos);
    }

    @Override
    public void drop(final Request request, final long nowNanos) {
        mQuota.release((QuotaPermit) request.attachment(), nowNanos);
    }

    @Override
    public void onTick(final long nowNanos) {
        if (mFleet.nowMillis() % TIMER_MILLIS == 0) {
            mQuota.onTimer(nowNanos);
        }
        if (mFleet.nowMillis() % mIntervalMillis == 0) {
            updateShare(nowNanos);
            mExchange.onInterval(nowNanos);
        }
        if (mFleet.nowMillis() % MEMBERS_MILLIS == 0) {
            // A hub lists what it is connected with, and a leaf nothing.
            if (mTopology.isMesh() || mTopology.isHub()) {
                mPeers.forEach(
                        peer -> mFleet.send(mIndex, peer, 0, new Members(Set.copyOf(mPeers))));
            }
        }
        mExchange.flush(nowNanos);
    }

    @Override
    public void onConnected(final int peer, final long nowNanos) {
        mPeers.add(peer);
        mShare.onHeard(name(peer), nowNanos);
        mExchange.onConnected(new Incarnation(peer));
        mFleet.send(mIndex, peer, 0, new Members(Set.copyOf(mPeers)));
        mFleet.send(mIndex, peer, 0, new FleetMembers(mShare.countedMembers()));
    }

    @Override
    public void onDisconnected(final int peer, final long nowNanos) {
        mPeers.remove(peer);
        mExchange.onDisconnected(new Incarnation(peer));
    }

    @Override
    public void onMessage(final int from, final Object message, final long nowNanos) {
        mShare.onHeard(name(from), nowNanos);
        if (message instanceof Members members) {
            for (final int member : members.members()) {
                if (member != mIndex) {
                    mShare.onListed(name(member), nowNanos);
                }
            }
        } else if (message instanceof FleetMembers members) {
            mShare.onPeerMembers(members.members(), nowNanos);
        } else if (message instanceof UnitTransfer transfer) {
            mExchange.onTransfer(new Incarnation(from), transfer, nowNanos);
            updateShare(nowNanos);
            mExchange.flush(nowNanos);
        }
    }

    @Override
    public Optional<Incarnation> collector(final String customer) {
        final List<String> heard = mPeers.stream().map(QuotaDaemonModel::name).toList();
        return mTopology.collector(customer, heard).map(name -> new Incarnation(index(name)));
    }

    @Override
    public boolean isForwardedFor(final Incarnation peer) {
        return mTopology.isHub() && !mTopology.isHub(nameOf(peer));
    }

    @Override
    public Collection<Incarnation> partners() {
        return mPeers.stream().map(Incarnation::new).toList();
    }

    @Override
    public String nameOf(final Incarnation peer) {
        return name((int) peer.id());
    }

    @Override
    public void onConfiguration(final long nowNanos) {
        mQuota.configure(List.of(mFleet.customer()), nowNanos);
    }

    private void updateShare(final long nowNanos) {
        final int reachable = mFleet.reachableFrom(mIndex);
        mShare.onTimer(reachable, nowNanos);
        mQuota.onShare(
                mShare.share(nowNanos), mShare.reachableShare(reachable, nowNanos), nowNanos);
        if (!mKnowsFleet && mShare.standing() != Standing.UNKNOWN) {
            mKnowsFleet = true;
            mPeers.forEach(
                    peer ->
                            mFleet.send(
                                    mIndex, peer, 0, new FleetMembers(mShare.countedMembers())));
        }
    }
}
