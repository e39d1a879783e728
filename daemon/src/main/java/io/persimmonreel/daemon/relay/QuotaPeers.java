package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.FleetMembers;
import io.persimmonreel.core.peer.PeerMessage.MemberNames;
import io.persimmonreel.core.peer.PeerMessage.Standing;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.quota.FleetShare;
import io.persimmonreel.core.quota.QuotaLife;
import io.persimmonreel.core.quota.UnitExchange;
import io.persimmonreel.core.quota.UnitRouting;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.peer.PeerTransport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Exchanges units of quotas with peers, and keeps this daemon's share of them and of the rates of
 * cold replicas. All methods run on the event loop.
 */
final class QuotaPeers implements UnitRouting, UnitExchange.TransferObserver {
    /** The time between two lists of names; daemons count a new one only after 3 s. */
    private static final long NAMES_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PeerExchange mPeers;
    private final RelayService mService;
    private final FleetQuota mQuota;
    private final FleetShare mShare;
    private final UnitExchange mExchange;
    private final TimeSource mTime;
    private PeerTransport mTransport;
    private long mNamesSentNanos;
    private String mSelf;
    private boolean mKnowsFleet;
    private double mLoggedShare;

    QuotaPeers(
            final PeerExchange peers,
            final RelayService service,
            final RelaySettings settings,
            final TimeSource time) {
        mPeers = peers;
        mService = service;
        mQuota = service.quota();
        mTime = time;
        mShare = new FleetShare(settings.firstStart(), time.monotonicNanos(), time.wallMillis());
        mExchange =
                new UnitExchange(
                        mQuota, mShare, this, (to, message) -> mTransport.send(to, message), this);
        reload(settings);
    }

    void start(final PeerTransport transport) {
        mTransport = transport;
        mService.quotaGate().exchangeWith(this);
        updateShare(mTime.monotonicNanos());
    }

    void reload(final RelaySettings settings) {
        mShare.onSeeds(
                PeerSelector.format(settings.peerAddress()),
                settings.seeds().stream().map(PeerSelector::format).toList());
        mSelf = PeerSelector.format(settings.peerAddress());
        mService.rateLimits()
                .coldReplicas()
                .onBound(settings.warmUpBound(), mTime.monotonicNanos());
    }

    void onConnected(final Incarnation peer) {
        mExchange.onConnected(peer);
        if (mShare.standing() != Standing.UNKNOWN) {
            mTransport.send(peer, new FleetMembers(mShare.countedMembers()));
        }
    }

    void onDisconnected(final Incarnation peer) {
        mExchange.onDisconnected(peer);
    }

    /** Records that a member runs: one that sent a digest, or one that a peer lists. */
    void onMember(final String address, final boolean isSender, final long nowNanos) {
        if (isSender) {
            mShare.onHeard(address, nowNanos);
        } else {
            mShare.onListed(address, nowNanos);
        }
    }

    void onTransfer(final Incarnation from, final UnitTransfer transfer, final long nowNanos) {
        checkSuspended(nowNanos);
        final Standing standing = mShare.standing();
        final int size = mShare.size();
        mExchange.onTransfer(from, transfer, nowNanos);
        // A hub gets many messages in an interval, at whose end the share is updated anyway.
        if (mShare.standing() != standing || mShare.size() != size) {
            updateShare(nowNanos);
        }
        mExchange.flush(nowNanos);
    }

    void onMembers(final FleetMembers members, final long nowNanos) {
        mShare.onPeerMembers(members.members(), nowNanos);
    }

    void onNames(final MemberNames names, final long nowNanos) {
        mService.rateLimits().coldReplicas().onNames(names.members(), nowNanos);
    }

    void onInterval(final long nowNanos) {
        checkSuspended(nowNanos);
        sendNames(nowNanos);
        if (!mPeers.topology().isMesh()) {
            mQuota.extendLife(QuotaLife.HUBS, nowNanos);
        }
        updateShare(nowNanos);
        mExchange.onInterval(nowNanos);
    }

    /** Drops all units if the host was suspended, before any of them is used. */
    void checkSuspended(final long nowNanos) {
        if (mShare.checkSuspended(nowNanos, mTime.wallMillis())) {
            mExchange.onSuspended(nowNanos);
            mService.log().suspended();
            updateShare(nowNanos);
        }
    }

    /** Sends what claims have added. */
    void flush() {
        mExchange.flush(mTime.monotonicNanos());
    }

    @Override
    public Optional<Incarnation> collector(final String customer) {
        return mPeers.collector(customer);
    }

    @Override
    public boolean isForwardedFor(final Incarnation peer) {
        return mPeers.isForwardedFor(peer);
    }

    @Override
    public Collection<Incarnation> partners() {
        return mPeers.partners(mTime.monotonicNanos());
    }

    @Override
    public String nameOf(final Incarnation peer) {
        return mPeers.addressOf(peer);
    }

    @Override
    public void onGiven(final String customer, final long units) {
        mService.log().quotaUse().add(customer, QuotaEvent.GIVEN, units);
    }

    @Override
    public void onReceived(final String customer, final long units) {
        mService.log().quotaUse().add(customer, QuotaEvent.RECEIVED, units);
    }

    /** Lists all daemons to the leaves of this hub, which need the names for cold replicas only. */
    private void sendNames(final long nowNanos) {
        if (!mPeers.topology().isHub()
                || !mService.rateLimits().coldReplicas().isLimiting()
                || nowNanos - mNamesSentNanos < NAMES_INTERVAL_NANOS) {
            return;
        }
        mNamesSentNanos = nowNanos;
        final Set<Incarnation> leaves = new HashSet<>(partners());
        leaves.removeIf(peer -> mPeers.topology().isHub(nameOf(peer)));
        final List<String> names = new ArrayList<>(mShare.members());
        names.add(mSelf);
        mTransport.sendAll(leaves, new MemberNames(names));
    }

    private void updateShare(final long nowNanos) {
        final int reachable = mPeers.reachable(nowNanos);
        mShare.onTimer(reachable, nowNanos);
        mService.rateLimits().coldReplicas().onFleet(mSelf, mShare, nowNanos);
        final double share = mShare.share(nowNanos);
        mQuota.onShare(share, mShare.reachableShare(reachable, nowNanos), nowNanos);
        if (share != mLoggedShare) {
            mLoggedShare = share;
            mService.log().quotaShare(mShare, nowNanos);
        }
        if (!mKnowsFleet && mShare.standing() != Standing.UNKNOWN) {
            mPeers.broadcast(new FleetMembers(mShare.countedMembers()));
        }
        mKnowsFleet = mShare.standing() != Standing.UNKNOWN;
    }
}
