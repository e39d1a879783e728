package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.membership.HeardPeers;
import io.persimmonreel.core.membership.HubTopology;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.peer.PeerMessage.DirectoryRequest;
import io.persimmonreel.core.peer.PeerMessage.FleetMembers;
import io.persimmonreel.core.peer.PeerMessage.MemberNames;
import io.persimmonreel.core.peer.PeerMessage.PartNotice;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.peer.PeerMessage.RateLimitNotice;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.core.peer.PeerMessage.ReplicaCrashNotice;
import io.persimmonreel.core.peer.PeerMessage.ReplicaWork;
import io.persimmonreel.core.peer.PeerMessage.SlotPlaces;
import io.persimmonreel.core.peer.PeerMessage.SlotTransfer;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.placement.FleetDivision;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.directory.DirectoryState;
import io.persimmonreel.daemon.directory.DirectoryWatch;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.peer.PeerIdentity;
import io.persimmonreel.daemon.peer.PeerListener;
import io.persimmonreel.daemon.peer.PeerTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Exchanges digests of the work at replicas with other daemons, and units of quotas. It also sends
 * a copy of the directory to peers that can't reach it. All methods run on the event loop.
 */
final class PeerExchange implements PeerListener {
    /** A member of which nothing was heard for this time is forgotten. */
    private static final long MEMBER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(20);

    /**
     * The minimum age at which an unneeded connection is closed, since daemons may not know the
     * same members yet.
     */
    private static final long UNNEEDED_CONNECTION_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * The number of digest intervals between two digests in a large fleet, where hubs send many.
     */
    private static final int LARGE_FLEET_DIGEST_INTERVALS = 2;

    /**
     * The number of digest intervals between two digests that list the members, in a large fleet.
     */
    private static final int LARGE_FLEET_MEMBER_LIST_INTERVALS = 8;

    /**
     * The number of digest intervals after which notices are repeated, since the transport may lose
     * some.
     */
    private static final int REPEAT_INTERVALS = 10;

    /** The number of daemons that is assumed while no peer is known. */
    private static final int ASSUMED_FLEET_SIZE = 6;

    private final PeerSelector mSelector;
    private final RelayService mService;
    private final PeerDigests mPeerDigests;
    private final QuotaPeers mQuotaPeers;
    private final DirectoryState mDirectory;
    private final DirectoryWatch mDirectoryWatch;
    private final DirectoryExchange mDirectoryExchange;
    private final RetryBudget mBudget;
    private double mRetryRatio;
    private double mRetrySlack;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final Map<Incarnation, Peer> mPeers = new HashMap<>();
    private final HeardPeers mHeardPeers = new HeardPeers(PeerDigests.SILENCE_NANOS);
    private final FleetDivision mDivision;
    private final Map<String, Long> mLastHeardNanosByMember = new HashMap<>();
    private PeerTransport mTransport;
    private SlotGrants mSlotGrants;
    private boolean mShuttingDown;
    private int mDigestRounds;

    /** Holds the state of a connected peer. */
    private static final class Peer {
        private final long mConnectedNanos;
        private String mAddress = "";
        private boolean mShuttingDown;

        Peer(final long connectedNanos) {
            mConnectedNanos = connectedNanos;
        }
    }

    PeerExchange(
            final RelaySettings settings,
            final RelayService service,
            final DirectoryState directory,
            final DirectoryWatch watch,
            final RetryBudget budget,
            final TimeSource time,
            final EventLog log) {
        mSelector = new PeerSelector(settings.peerAddress(), settings.seeds());
        mDivision = new FleetDivision(mSelector.name());
        mService = service;
        mPeerDigests = new PeerDigests(service.replicas());
        mDirectory = directory;
        mDirectoryWatch = watch;
        mDirectoryExchange = new DirectoryExchange(directory, watch);
        mBudget = budget;
        mRetryRatio = settings.retryRatio();
        mRetrySlack = settings.retrySlack();
        mTime = time;
        mQuotaPeers = new QuotaPeers(this, service, settings, time);
        mLog = log;
    }

    void start(final PeerTransport transport, final TimerService timers) {
        mTransport = transport;
        mSlotGrants = new SlotGrants(mSelector.name(), this, mService, transport, mTime, timers);
        new StreamPeers(this, mService.takeUps(), mDirectoryWatch, transport, timers, mTime);
        mQuotaPeers.start(transport);
        updateConnections();
    }

    /** Applies changed settings. */
    void reload(final RelaySettings settings) {
        mRetryRatio = settings.retryRatio();
        mRetrySlack = settings.retrySlack();
        mSelector.addSeeds(settings.seeds());
        mQuotaPeers.reload(settings);
        updateConnections();
    }

    void beginShutdown() {
        mShuttingDown = true;
        sendDigests(mTime.monotonicNanos());
    }

    int connectedCount() {
        return mPeers.size();
    }

    void broadcast(final PeerMessage notice) {
        mTransport.sendAll(mPeers.keySet(), notice);
    }

    /**
     * Sends a digest to all peers; in a large fleet only at some of the intervals.
     *
     * <p>A hub receives many digests in an interval, so it applies the work of its peers here, once
     * per interval.
     */
    void sendDigests(final long nowNanos) {
        mDigestRounds++;
        applyPeerWork(nowNanos);
        if (mDigestRounds % REPEAT_INTERVALS == 0) {
            mService.notices()
                    .repeated(nowNanos)
                    .forEach(notice -> mTransport.sendAll(mPeers.keySet(), notice));
        }
        if (!mSelector.topology().isMesh() && mDigestRounds % LARGE_FLEET_DIGEST_INTERVALS != 0) {
            return;
        }
        if (mSelector.topology().isHub()) {
            sendAsHub(nowNanos);
        } else {
            final Set<Incarnation> workPeers = workPeers(nowNanos);
            final Set<Incarnation> others = new HashSet<>(mPeers.keySet());
            others.removeAll(workPeers);
            mTransport.sendAll(workPeers, digest(1, mPeerDigests.ownWork()));
            mTransport.sendAll(others, emptyDigest());
        }
        mQuotaPeers.onInterval(nowNanos);
    }

    /** Updates the choice of peers, opens missing connections and closes unneeded ones. */
    void updateConnections() {
        final long now = mTime.monotonicNanos();
        mLastHeardNanosByMember.values().removeIf(heard -> now - heard > MEMBER_EXPIRY_NANOS);
        if (mSelector.onMembers(mLastHeardNanosByMember.keySet())) {
            final HubTopology topology = mSelector.topology();
            mLog.event("peer", "role")
                    .put("role", topology.isMesh() ? "mesh" : topology.isHub() ? "hub" : "leaf")
                    .put("members", mLastHeardNanosByMember.size() + 1)
                    .write();
        }
        mTransport.connect(mSelector.addressesToConnect(addresses()));
        closeUnneeded(now);
        applyFleetSize(now);
    }

    @Override
    public void onConnected(final PeerIdentity peer) {
        mPeers.put(peer.incarnation(), new Peer(mTime.monotonicNanos()));
        mLog.event("peer", "connected").put("peer", peer.incarnation().toString()).write();
        // The first digest lists all members, so that a starting daemon finds its peers.
        mTransport.send(
                peer.incarnation(),
                digest(0, List.copyOf(mLastHeardNanosByMember.keySet()), List.of()));
        mQuotaPeers.onConnected(peer.incarnation());
        mService.notices()
                .forNewPeer(mTime.monotonicNanos())
                .forEach(notice -> mTransport.send(peer.incarnation(), notice));
    }

    @Override
    public void onDisconnected(final PeerIdentity peer) {
        final Peer lost = mPeers.remove(peer.incarnation());
        mPeerDigests.forget(peer.incarnation());
        mHeardPeers.forget(peer.incarnation());
        mQuotaPeers.onDisconnected(peer.incarnation());
        mLog.event("peer", "lost")
                .put("peer", peer.incarnation().toString())
                .put("address", lost == null ? "" : lost.mAddress)
                .write();
        applyPeerWork(mTime.monotonicNanos());
    }

    @Override
    public void onMessage(final PeerIdentity from, final PeerMessage message) {
        final long now = mTime.monotonicNanos();
        if (message instanceof RelayDigest digest) {
            onDigest(from.incarnation(), digest, now);
        } else if (message instanceof DirectoryRequest request) {
            mDirectory
                    .copyFor(request)
                    .ifPresent(copy -> mTransport.send(from.incarnation(), copy));
        } else if (message instanceof DirectoryCopy copy) {
            mDirectoryExchange.onCopy(copy);
        } else if (message instanceof UnitTransfer transfer) {
            mQuotaPeers.onTransfer(from.incarnation(), transfer, now);
        } else if (message instanceof SlotTransfer transfer) {
            mSlotGrants.onTransfer(from.incarnation(), transfer, now);
        } else if (message instanceof SlotPlaces places) {
            mSlotGrants.onPlaces(places);
        } else if (message instanceof StreamTransfer transfer) {
            mService.takeUps().onTransfer(from.incarnation(), transfer, now);
        } else if (message instanceof FleetMembers members) {
            mQuotaPeers.onMembers(members, now);
        } else if (message instanceof QuarantineNotice notice) {
            onNotice(from.incarnation(), notice, now);
        } else if (message instanceof PartNotice notice) {
            mService.quarantine().onPartNotice(notice, now);
            forward(from.incarnation(), notice);
        } else if (message instanceof RateLimitNotice notice) {
            mService.rateLimits().onNotice(notice, now);
            forward(from.incarnation(), notice);
        } else if (message instanceof MemberNames names) {
            mQuotaPeers.onNames(names, now);
        } else if (message instanceof ReplicaCrashNotice notice) {
            mService.rateLimits().coldReplicas().onNotice(notice, now);
            forward(from.incarnation(), notice);
        }
    }

    private void onNotice(final Incarnation from, final QuarantineNotice notice, final long now) {
        if (!mService.quarantine().onNotice(notice, now)) {
            return;
        }
        mLog.event("quarantine", "told")
                .put("digest", notice.digest())
                .put("replicas", notice.replicas().size())
                .put("stopped", notice.quarantined())
                .write();
        forward(from, notice);
    }

    /**
     * Forwards a notice, if this daemon is a hub: one from a leaf to all other peers, and one from
     * a hub only to the leaves.
     */
    private void forward(final Incarnation from, final PeerMessage notice) {
        if (mSelector.topology().isHub()) {
            final Set<Incarnation> recipients = new HashSet<>();
            for (final Map.Entry<Incarnation, Peer> peer : mPeers.entrySet()) {
                final boolean recipientIsHub = mSelector.topology().isHub(peer.getValue().mAddress);
                if (!peer.getKey().equals(from) && (!recipientIsHub || !isHub(from))) {
                    recipients.add(peer.getKey());
                }
            }
            mTransport.sendAll(recipients, notice);
        }
    }

    private void onDigest(final Incarnation from, final RelayDigest digest, final long now) {
        final Peer peer = mPeers.get(from);
        if (peer == null) {
            return;
        }
        peer.mAddress = digest.address();
        peer.mShuttingDown = digest.leaving();
        mPeerDigests.onDigest(from, digest, now);
        mHeardPeers.onHeard(from, digest.address(), now);
        mService.configurationMonitor().onPeerVersion(digest.configVersion());
        recordMember(digest.address(), true, now);
        digest.members().forEach(address -> recordMember(address, false, now));
        mDirectoryExchange
                .requestFor(digest, now)
                .ifPresent(request -> mTransport.send(from, request));
        if (!mSelector.topology().isHub()) {
            applyPeerWork(now);
        }
    }

    private void recordMember(final String address, final boolean isSender, final long now) {
        if (mSelector.isOther(address)) {
            mLastHeardNanosByMember.put(address, now);
            mQuotaPeers.onMember(address, isSender, now);
        }
    }

    /**
     * Sends the sums over this hub and its leaves to the other hubs, and the sums over the whole
     * fleet to each leaf that reports its work to this hub. Leaves that report to another hub get
     * an empty digest as a sign of life.
     */
    private void sendAsHub(final long nowNanos) {
        final Set<Incarnation> hubs = new HashSet<>();
        final Set<Incarnation> leaves = new HashSet<>();
        mPeers.keySet().forEach(peer -> (isHub(peer) ? hubs : leaves).add(peer));
        final int groupSize = 1 + mPeerDigests.daemonCount(leaves, nowNanos);
        mTransport.sendAll(hubs, digest(groupSize, mPeerDigests.totalWork(leaves, nowNanos)));
        final Set<Incarnation> ownLeaves = new HashSet<>(leaves);
        ownLeaves.removeIf(leaf -> !mPeerDigests.reportsWorkHere(leaf));
        leaves.removeAll(ownLeaves);
        final int fleetSize = groupSize + mPeerDigests.daemonCount(hubs, nowNanos);
        final List<ReplicaWork> fleetWork = mPeerDigests.totalWork(mPeers.keySet(), nowNanos);
        mTransport.sendAll(ownLeaves, digest(fleetSize, fleetWork));
        mTransport.sendAll(leaves, emptyDigest());
    }

    /** Returns a digest without work, for a peer that must not count this daemon. */
    private RelayDigest emptyDigest() {
        return digest(0, List.of());
    }

    private RelayDigest digest(final int daemons, final List<ReplicaWork> work) {
        final boolean includesMembers =
                mSelector.topology().isMesh()
                        || mDigestRounds % LARGE_FLEET_MEMBER_LIST_INTERVALS == 0;
        return digest(daemons, includesMembers ? members() : List.of(), work);
    }

    private RelayDigest digest(
            final int daemons, final List<String> members, final List<ReplicaWork> work) {
        return new RelayDigest(
                mSelector.name(),
                mShuttingDown,
                daemons,
                members,
                mDirectory.version(),
                mDirectory.configurationVersion(),
                work);
    }

    /**
     * Returns the members to list in a digest. A leaf lists none, since daemons would otherwise
     * keep reporting a stopped daemon to each other for ever.
     */
    private List<String> members() {
        if (mSelector.isLeaf()) {
            return List.of();
        }
        final List<String> members = new ArrayList<>();
        for (final Peer peer : mPeers.values()) {
            if (!peer.mAddress.isEmpty() && !peer.mShuttingDown) {
                members.add(peer.mAddress);
            }
        }
        return members;
    }

    private void applyPeerWork(final long now) {
        mPeerDigests.apply(workPeers(now), mSelector.isLeaf(), now);
    }

    /**
     * Returns the peers with which this daemon exchanges work: for a leaf one hub, else all peers.
     */
    private Set<Incarnation> workPeers(final long now) {
        if (!mSelector.isLeaf()) {
            return mPeers.keySet();
        }
        final Map<String, Incarnation> recent = heardPeers(now);
        return mSelector.workPeers(recent.keySet()).stream()
                .map(recent::get)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the number of daemons that are heard from, this one included. For a leaf, the digest
     * of its hub already counts the leaf itself.
     */
    int reachable(final long now) {
        final int reported = mPeerDigests.daemonCount(workPeers(now), now);
        return mSelector.isLeaf() ? Math.max(1, reported) : 1 + reported;
    }

    /** Returns the peers to which this daemon reports its work, or which report theirs. */
    Set<Incarnation> partners(final long now) {
        final Set<Incarnation> partners = new HashSet<>(workPeers(now));
        if (mSelector.topology().isHub()) {
            partners.removeIf(peer -> !isHub(peer) && !mPeerDigests.reportsWorkHere(peer));
        }
        return partners;
    }

    /** Returns the peers with a recent digest, by their address. */
    Map<String, Incarnation> heardPeers(final long now) {
        return mHeardPeers.recent(now);
    }

    /**
     * Returns the peer to which this daemon passes what is collected for a key, empty if this
     * daemon collects it itself or hears no collector.
     */
    Optional<Incarnation> collector(final String key) {
        return mHeardPeers.collector(mSelector.topology(), key, mTime.monotonicNanos());
    }

    /** Returns whether this hub passes on to the collector what a peer sends: if it is a leaf. */
    boolean isForwardedFor(final Incarnation peer) {
        return mSelector.topology().isHub() && !isHub(peer);
    }

    /** Returns the address of a peer, empty if it is not known yet. */
    String addressOf(final Incarnation incarnation) {
        final Peer peer = mPeers.get(incarnation);
        return peer == null ? "" : peer.mAddress;
    }

    HubTopology topology() {
        return mSelector.topology();
    }

    /** Applies the size of the fleet to the retry budget and the shares. */
    private void applyFleetSize(final long now) {
        final int reportedSize = reachable(now);
        final int knownSize = Math.max(reportedSize, mLastHeardNanosByMember.size() + 1);
        final int assumedSize =
                knownSize == 1 && mSelector.hasSeeds() ? ASSUMED_FLEET_SIZE : knownSize;
        mBudget.configure(mRetryRatio, mRetrySlack, assumedSize);
        // In a mesh the digests are recent, so every daemon may use all slots; this serves more
        // requests than dividing the slots among the daemons.
        mService.onShares(
                mSelector.topology().isMesh()
                        ? SlotShares.UNDIVIDED
                        : mDivision.slots(
                                mLastHeardNanosByMember.keySet(),
                                reportedSize,
                                mService.replicas().byUpstream()),
                mDivision.rates(mLastHeardNanosByMember.keySet(), assumedSize),
                reportedSize);
    }

    private List<String> addresses() {
        return mPeers.values().stream().map(peer -> peer.mAddress).toList();
    }

    private void closeUnneeded(final long now) {
        for (final Map.Entry<Incarnation, Peer> entry : Map.copyOf(mPeers).entrySet()) {
            final Peer peer = entry.getValue();
            if (!mSelector.isConnectionNeeded(peer.mAddress)
                    && now - peer.mConnectedNanos > UNNEEDED_CONNECTION_NANOS) {
                mTransport.disconnect(entry.getKey());
            }
        }
    }

    private boolean isHub(final Incarnation incarnation) {
        final Peer peer = mPeers.get(incarnation);
        return peer != null && mSelector.topology().isHub(peer.mAddress);
    }
}
