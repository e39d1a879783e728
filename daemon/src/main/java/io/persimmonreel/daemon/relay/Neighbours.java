package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.membership.HubTopology;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.peer.PeerMessage.DirectoryRequest;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.core.peer.PeerMessage.ReplicaWork;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.time.TimeSource;
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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Exchanges digests with other daemons: work at replicas, use of quotas, and the directory for
 * those that can't reach it. All methods run on the event loop.
 */
final class Neighbours implements PeerListener {
    /** An address that was not reached for this time is forgotten. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** The directory is asked of a peer if it did not answer for this time. */
    private static final long DIRECTORY_SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** The directory is asked of a peer at most this often. */
    private static final long DIRECTORY_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Connections that are not needed stay open for this time, while views still differ. */
    private static final long UNNEEDED_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A daemon takes the levels of quotas from one that has run for longer than this. */
    private static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** In a large fleet digests are sent at every so many intervals, since hubs send many. */
    private static final int LARGE_FLEET_EVERY = 2;

    /** In a large fleet the members are listed at every so many intervals. */
    private static final int MEMBERS_EVERY = 8;

    /** Without any peer the daemon assumes a fleet of this size. */
    private static final int ASSUMED_FLEET = 6;

    private final PeerLinks mLinks;
    private final RelayService mService;
    private final FleetWork mWork;
    private final DirectoryState mDirectory;
    private final DirectoryWatch mWatch;
    private final RetryBudget mBudget;
    private double mRetryRatio;
    private double mRetrySlack;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final Map<Incarnation, Peer> mPeers = new HashMap<>();
    private final Map<String, Long> mKnown = new HashMap<>();
    private PeerTransport mTransport;
    private boolean mLeaving;
    private final long mStartNanos;
    private long mAskedNanos;
    private int mDigests;

    /** Holds what is known of a connected peer. */
    private static final class Peer {
        private final long mSinceNanos;
        private String mAddress = "";
        private boolean mIsLeaving;

        Peer(final long sinceNanos) {
            mSinceNanos = sinceNanos;
        }
    }

    Neighbours(
            final RelaySettings settings,
            final RelayService service,
            final DirectoryState directory,
            final DirectoryWatch watch,
            final RetryBudget budget,
            final TimeSource time,
            final EventLog log) {
        mLinks = new PeerLinks(settings.peerAddress(), settings.seeds());
        mService = service;
        mWork = new FleetWork(service.replicas(), service.quota());
        mDirectory = directory;
        mWatch = watch;
        mBudget = budget;
        mRetryRatio = settings.retryRatio();
        mRetrySlack = settings.retrySlack();
        mTime = time;
        mStartNanos = time.monotonicNanos();
        mLog = log;
    }

    void start(final PeerTransport transport) {
        mTransport = transport;
        maintain();
    }

    /** Takes changed settings. */
    void reload(final RelaySettings settings) {
        mRetryRatio = settings.retryRatio();
        mRetrySlack = settings.retrySlack();
        mLinks.addSeeds(settings.seeds());
        maintain();
    }

    void leave() {
        mLeaving = true;
        sendDigests(mTime.monotonicNanos());
    }

    int connected() {
        return mPeers.size();
    }

    void broadcast(final QuarantineNotice notice) {
        mTransport.sendAll(mPeers.keySet(), notice);
    }

    /**
     * Sends digests to the peers that need them.
     *
     * <p>A hub hears many digests in an interval, so it adds up the work of its peers here, once.
     */
    void sendDigests(final long nowNanos) {
        mDigests++;
        applyWork(nowNanos);
        if (!mLinks.topology().isMesh() && mDigests % LARGE_FLEET_EVERY != 0) {
            return;
        }
        final Map<String, Long> ownUse = mService.quota().takeUnreported();
        final Map<Incarnation, Map<String, Long>> peerUse = mWork.takeUse();
        if (mLinks.topology().isHub()) {
            sendAsHub(ownUse, peerUse, nowNanos);
        } else {
            final Set<Incarnation> counting = countingPeers(nowNanos);
            final Set<Incarnation> others = new HashSet<>(mPeers.keySet());
            others.removeAll(counting);
            mTransport.sendAll(counting, digest(1, mWork.own(), ownUse));
            mTransport.sendAll(others, signOfLife());
        }
    }

    /** Chooses peers anew, opens missing connections and closes those that are not needed. */
    void maintain() {
        final long now = mTime.monotonicNanos();
        mKnown.values().removeIf(heard -> now - heard > FORGET_NANOS);
        if (mLinks.onMembers(mKnown.keySet())) {
            final HubTopology topology = mLinks.topology();
            mLog.event("peer", "role")
                    .put("role", topology.isMesh() ? "mesh" : topology.isHub() ? "hub" : "leaf")
                    .put("members", mKnown.size() + 1)
                    .write();
        }
        mTransport.connect(mLinks.missing(addresses()));
        closeUnneeded(now);
        updateMembers(now);
    }

    @Override
    public void onConnected(final PeerIdentity peer) {
        mPeers.put(peer.incarnation(), new Peer(mTime.monotonicNanos()));
        mLog.event("peer", "connected").put("peer", peer.incarnation().toString()).write();
        // The first digest lists all members, so that a daemon that starts finds its peers.
        mTransport.send(
                peer.incarnation(), digest(0, List.copyOf(mKnown.keySet()), List.of(), Map.of()));
        if (isSettled()) {
            mTransport.send(
                    peer.incarnation(), new PeerMessage.QuotaLevels(mService.quota().levels()));
        }
    }

    @Override
    public void onDisconnected(final PeerIdentity peer) {
        final Peer lost = mPeers.remove(peer.incarnation());
        mWork.forget(peer.incarnation());
        mLog.event("peer", "lost")
                .put("peer", peer.incarnation().toString())
                .put("address", lost == null ? "" : lost.mAddress)
                .write();
        applyWork(mTime.monotonicNanos());
    }

    @Override
    public void onMessage(final PeerIdentity from, final PeerMessage message) {
        final long now = mTime.monotonicNanos();
        if (message instanceof RelayDigest digest) {
            onDigest(from.incarnation(), digest, now);
        } else if (message instanceof DirectoryRequest request) {
            if (mDirectory.revision() > request.haveRevision()) {
                mTransport.send(from.incarnation(), mDirectory.copy(request.haveConfigVersion()));
            }
        } else if (message instanceof DirectoryCopy copy) {
            mWatch.onCopy(copy);
        } else if (message instanceof PeerMessage.QuotaLevels levels) {
            if (!isSettled()) {
                mService.onQuotaLevels(levels.levels());
            }
        } else if (message instanceof QuarantineNotice notice) {
            onNotice(from.incarnation(), notice, now);
        }
    }

    private void onNotice(final Incarnation from, final QuarantineNotice notice, final long now) {
        mService.suspects().onNotice(notice, now);
        mLog.event("quarantine", "told")
                .put("digest", notice.digest())
                .put("replicas", notice.replicas().size())
                .put("stopped", notice.quarantined())
                .write();
        if (mLinks.topology().isHub()) {
            final Set<Incarnation> next = new HashSet<>();
            for (final Map.Entry<Incarnation, Peer> peer : mPeers.entrySet()) {
                final boolean toHub = mLinks.topology().isHub(peer.getValue().mAddress);
                if (!peer.getKey().equals(from) && (!toHub || !isHub(from))) {
                    next.add(peer.getKey());
                }
            }
            mTransport.sendAll(next, notice);
        }
    }

    private void onDigest(final Incarnation from, final RelayDigest digest, final long now) {
        final Peer peer = mPeers.get(from);
        if (peer == null) {
            return;
        }
        peer.mAddress = digest.address();
        peer.mIsLeaving = digest.leaving();
        mWork.onDigest(from, digest, now);
        if (countingPeers(now).contains(from)) {
            mWork.onUse(from, digest.use());
        }
        note(digest.address(), now);
        digest.members().forEach(address -> note(address, now));
        askForDirectory(from, digest, now);
        if (!mLinks.topology().isHub()) {
            applyWork(now);
        }
    }

    private void note(final String address, final long now) {
        if (mLinks.isOther(address)) {
            mKnown.put(address, now);
        }
    }

    private void askForDirectory(final Incarnation from, final RelayDigest digest, final long now) {
        final boolean behind =
                digest.configVersion() > configVersion()
                        || digest.directoryRevision() > mDirectory.revision();
        final boolean silent =
                mDirectory.revision() == 0 || mWatch.silentNanos() > DIRECTORY_SILENT_NANOS;
        if (behind && silent && now - mAskedNanos > DIRECTORY_REQUEST_NANOS) {
            mAskedNanos = now;
            mTransport.send(from, new DirectoryRequest(mDirectory.revision(), configVersion()));
        }
    }

    /**
     * A hub speaks for its leaves to other hubs, and for the whole fleet to each leaf that it
     * counts. Leaves that another hub counts only hear that it lives.
     */
    private void sendAsHub(
            final Map<String, Long> ownUse,
            final Map<Incarnation, Map<String, Long>> peerUse,
            final long nowNanos) {
        final Set<Incarnation> hubs = new HashSet<>();
        final Set<Incarnation> leaves = new HashSet<>();
        mPeers.keySet().forEach(peer -> (isHub(peer) ? hubs : leaves).add(peer));
        final Map<String, Long> group = new HashMap<>(ownUse);
        leaves.forEach(leaf -> add(group, peerUse.get(leaf), 1));
        final int groupSize = 1 + mWork.daemons(leaves, nowNanos);
        mTransport.sendAll(hubs, digest(groupSize, mWork.ownAnd(leaves, nowNanos), group));
        final Map<String, Long> all = new HashMap<>(group);
        hubs.forEach(hub -> add(all, peerUse.get(hub), 1));
        final int fleetSize = groupSize + mWork.daemons(hubs, nowNanos);
        final List<ReplicaWork> total = mWork.ownAnd(mPeers.keySet(), nowNanos);
        final Set<Incarnation> idle = new HashSet<>();
        for (final Incarnation leaf : leaves) {
            if (!mWork.isCountedHere(leaf)) {
                idle.add(leaf);
                continue;
            }
            final Map<String, Long> others = new HashMap<>(all);
            add(others, peerUse.get(leaf), -1);
            mTransport.send(leaf, digest(fleetSize, total, others));
        }
        mTransport.sendAll(idle, signOfLife());
    }

    private static void add(
            final Map<String, Long> sum, final Map<String, Long> use, final int sign) {
        if (use != null) {
            use.forEach((name, units) -> sum.merge(name, sign * units, Long::sum));
        }
    }

    /** A digest to a peer that does not count this daemon. */
    private RelayDigest signOfLife() {
        return digest(0, List.of(), Map.of());
    }

    private RelayDigest digest(
            final int daemons, final List<ReplicaWork> work, final Map<String, Long> use) {
        final boolean lists = mLinks.topology().isMesh() || mDigests % MEMBERS_EVERY == 0;
        return digest(daemons, lists ? members() : List.of(), work, use);
    }

    private RelayDigest digest(
            final int daemons,
            final List<String> members,
            final List<ReplicaWork> work,
            final Map<String, Long> use) {
        return new RelayDigest(
                mLinks.name(),
                mLeaving,
                daemons,
                members,
                mDirectory.revision(),
                configVersion(),
                work,
                use);
    }

    /** A leaf lists no members, since a daemon that is gone would be told on for ever. */
    private List<String> members() {
        if (mLinks.isLeaf()) {
            return List.of();
        }
        final List<String> members = new ArrayList<>();
        for (final Peer peer : mPeers.values()) {
            if (!peer.mAddress.isEmpty() && !peer.mIsLeaving) {
                members.add(peer.mAddress);
            }
        }
        return members;
    }

    private void applyWork(final long now) {
        mWork.apply(countingPeers(now), mLinks.isLeaf(), now);
    }

    /** Returns the peers whose digests are added up. */
    private Set<Incarnation> countingPeers(final long now) {
        if (!mLinks.isLeaf()) {
            return mPeers.keySet();
        }
        final Map<String, Incarnation> heard = new HashMap<>();
        mPeers.forEach(
                (incarnation, peer) -> {
                    if (mWork.isHeard(incarnation, now)) {
                        heard.put(peer.mAddress, incarnation);
                    }
                });
        return mLinks.counting(heard.keySet()).stream()
                .map(heard::get)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void updateMembers(final long now) {
        final int others = mWork.daemons(countingPeers(now), now);
        final int heard = mLinks.isLeaf() ? Math.max(1, others) : 1 + others;
        final int known = Math.max(heard, mKnown.size() + 1);
        final int assumed = known == 1 && mLinks.hasSeeds() ? ASSUMED_FLEET : known;
        mService.quota().onMembers(heard, assumed);
        mBudget.configure(mRetryRatio, mRetrySlack, assumed);
        // Trials on both users' sites: where reports are fresh, shared slots serve more.
        mService.onShares(
                mLinks.topology().isMesh()
                        ? SlotShares.UNDIVIDED
                        : SlotShares.divide(
                                mLinks.name(),
                                mKnown.keySet(),
                                heard,
                                mService.replicas().byUpstream()));
    }

    private List<String> addresses() {
        return mPeers.values().stream().map(peer -> peer.mAddress).toList();
    }

    private void closeUnneeded(final long now) {
        for (final Map.Entry<Incarnation, Peer> entry : Map.copyOf(mPeers).entrySet()) {
            final Peer peer = entry.getValue();
            if (!mLinks.isNeeded(peer.mAddress) && now - peer.mSinceNanos > UNNEEDED_NANOS) {
                mTransport.disconnect(entry.getKey());
            }
        }
    }

    private boolean isSettled() {
        return mTime.monotonicNanos() - mStartNanos > SETTLED_NANOS;
    }

    private boolean isHub(final Incarnation incarnation) {
        final Peer peer = mPeers.get(incarnation);
        return peer != null && mLinks.topology().isHub(peer.mAddress);
    }

    private long configVersion() {
        return mDirectory.configuration().map(RelayConfiguration::version).orElse(0L);
    }
}
