package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.FleetMembers;
import io.persimmonreel.core.peer.PeerMessage.Standing;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.quota.FleetShare;
import io.persimmonreel.core.quota.QuotaLife;
import io.persimmonreel.core.quota.UnitExchange;
import io.persimmonreel.core.quota.UnitRouting;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.peer.PeerTransport;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/** Exchanges units of quotas with peers. All methods run on the event loop. */
final class QuotaPeers implements UnitRouting, UnitExchange.TransferObserver {
    private final PeerExchange mPeers;
    private final RelayService mService;
    private final FleetQuota mQuota;
    private final FleetShare mShare;
    private final UnitExchange mExchange;
    private final TimeSource mTime;
    private PeerTransport mTransport;
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
        mExchange.onTransfer(from, transfer, nowNanos);
        updateShare(nowNanos);
        mExchange.flush(nowNanos);
    }

    void onMembers(final FleetMembers members, final long nowNanos) {
        mShare.onPeerMembers(members.members(), nowNanos);
    }

    void onInterval(final long nowNanos) {
        checkSuspended(nowNanos);
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
        final Map<String, Incarnation> heard = mPeers.heardPeers(mTime.monotonicNanos());
        return mPeers.topology().collector(customer, heard.keySet()).map(heard::get);
    }

    @Override
    public boolean isForwardedFor(final Incarnation peer) {
        return mPeers.topology().isHub() && !mPeers.topology().isHub(nameOf(peer));
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

    private void updateShare(final long nowNanos) {
        final int reachable = mPeers.reachable(nowNanos);
        mShare.onTimer(reachable, nowNanos);
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
