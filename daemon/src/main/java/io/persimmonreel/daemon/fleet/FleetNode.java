package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.WatcherChoice;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.membership.FailureDetectorTimes;
import io.persimmonreel.core.membership.ListedHost;
import io.persimmonreel.core.membership.MemberState;
import io.persimmonreel.core.membership.MembershipEvent;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import io.persimmonreel.core.peer.PeerMessage.ConfigRequest;
import io.persimmonreel.core.peer.PeerMessage.Heartbeat;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.peer.PeerIdentity;
import io.persimmonreel.daemon.peer.PeerListener;
import io.persimmonreel.daemon.peer.PeerTransport;
import io.persimmonreel.daemon.platform.HostEntry;
import io.persimmonreel.daemon.platform.HostList;
import io.persimmonreel.daemon.platform.PlatformListener;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Handles the communication of this daemon with its peers and the platform.
 *
 * <p>It sends heartbeats, passes messages to the components that handle them, and notifies the
 * components of changes of members and configuration. Instances are thread safe.
 */
public final class FleetNode implements PeerListener, PlatformListener, AutoCloseable {
    private static final Logger LOG = System.getLogger(FleetNode.class.getName());

    /** Short enough for the timers to detect pauses of this process above 1 s. */
    private static final Duration TIMER_INTERVAL = Duration.ofMillis(100);

    private static final Duration CONNECT_INTERVAL = Duration.ofMillis(500);

    private final PeerIdentity mSelf;
    private final Set<InetSocketAddress> mSeeds;
    private final FleetComponents mComponents;
    private final ReplicaAvailabilityReporter mReplicaAvailability;
    private final ConfigurationWorker mConfigurationWorker;
    private final List<PeerHandler> mHandlers = new CopyOnWriteArrayList<>();
    private final List<TimerService.Subscription> mSubscriptions = new ArrayList<>();
    private volatile PeerTransport mTransport;
    private volatile Consumer<Boolean> mLeavingListener = leaving -> {};
    private volatile Set<InetSocketAddress> mListedAddresses = Set.of();

    /**
     * Creates a node; {@link #start} starts it.
     *
     * @param self the identity of this daemon
     * @param seeds the peer addresses from the settings
     * @param components the components that depend on other daemons
     */
    public FleetNode(
            final PeerIdentity self,
            final Set<InetSocketAddress> seeds,
            final FleetComponents components) {
        mSelf = self;
        mSeeds = Set.copyOf(seeds);
        mComponents = components;
        mReplicaAvailability = new ReplicaAvailabilityReporter(components.scheduler());
        mConfigurationWorker =
                new ConfigurationWorker(
                        components.configurationState(), components.configurationExchange());
        components.membership().subscribe(this::onMembershipEvent);
        components.configurationState().subscribe(this::onAccepted);
    }

    /**
     * Adds a handler that receives every message from peers.
     *
     * @param handler the handler
     */
    public void addHandler(final PeerHandler handler) {
        mHandlers.add(handler);
    }

    /**
     * Starts the heartbeats, the other timers and the connections to peers.
     *
     * @param transport the connections to peers
     * @param timers the timer service
     */
    public void start(final PeerTransport transport, final TimerService timers) {
        mTransport = transport;
        publishMembers();
        final Duration heartbeatInterval =
                Duration.ofNanos(FailureDetectorTimes.STANDARD.heartbeatIntervalNanos());
        mSubscriptions.add(timers.every("claim", TIMER_INTERVAL, mComponents.claims()::onTimer));
        mSubscriptions.add(timers.every("membership", TIMER_INTERVAL, this::onMembershipTimer));
        mSubscriptions.add(timers.every("heartbeat", heartbeatInterval, this::sendHeartbeats));
        mSubscriptions.add(timers.every("dial", CONNECT_INTERVAL, now -> connectToPeers()));
        connectToPeers();
    }

    /**
     * Sets the listener that is told after each host list whether it shows this daemon as leaving.
     *
     * @param listener receives true if the daemon is listed as leaving, else false
     */
    public void setLeavingListener(final Consumer<Boolean> listener) {
        mLeavingListener = listener;
    }

    /** Tells the peers that this daemon is leaving and accepts no new work. */
    public void leave() {
        mComponents.membership().leave();
        broadcast(new PeerMessage.Leaving());
    }

    /**
     * Sends a message to all connected peers.
     *
     * @param message the message
     */
    public void broadcast(final PeerMessage message) {
        final PeerTransport transport = mTransport;
        if (transport != null) {
            transport.connectedPeers().forEach(peer -> transport.send(peer, message));
        }
    }

    @Override
    public void close() {
        mSubscriptions.forEach(TimerService.Subscription::close);
        mConfigurationWorker.close();
    }

    @Override
    public void onConnected(final PeerIdentity peer) {
        mComponents.membership().onConnected(peer.incarnation(), peer.slot(), peer.zone());
        sendHeartbeat(List.of(peer.incarnation()), mComponents.time().monotonicNanos());
    }

    @Override
    public void onMessage(final PeerIdentity from, final PeerMessage message) {
        final Incarnation sender = from.incarnation();
        mComponents.membership().onMessage(sender, message);
        mComponents.claims().onMessage(sender, message);
        if (message instanceof Heartbeat heartbeat) {
            onHeartbeat(from, heartbeat);
        } else if (message instanceof ConfigRequest request) {
            mComponents.configurationExchange().onRequest(sender, request);
        } else if (message instanceof ConfigPart part) {
            mConfigurationWorker.offerPart(sender, part);
        } else if (message instanceof ShedNotice notice) {
            mComponents
                    .scheduler()
                    .onShedNotice(sender, notice, mComponents.time().monotonicNanos());
        }
        mHandlers.forEach(handler -> handler.onMessage(sender, message));
    }

    @Override
    public void onDisconnected(final PeerIdentity peer) {
        mComponents.startupReadiness().lostPeer(slotName(peer.slot()));
    }

    @Override
    public void onConfiguration(final long version, final String text) {
        mConfigurationWorker.offerText("configuration service", version, text);
    }

    @Override
    public void onHosts(final HostList hosts) {
        final List<ListedHost> listedDaemons = new ArrayList<>();
        final Set<InetSocketAddress> addresses = new HashSet<>();
        for (final HostEntry host : hosts.hosts()) {
            if (host.slot() > 0) {
                listedDaemons.add(new ListedHost(host.slot(), host.zone(), host.leaving()));
            }
            // Each pair of daemons uses one connection, which the daemon of the lower slot opens.
            if (host.slot() > mSelf.slot()) {
                parseAddress(host.address()).ifPresent(addresses::add);
            }
            if (host.slot() > 0 && host.slot() != mSelf.slot() && !host.leaving()) {
                mComponents.startupReadiness().expectPeer(slotName(host.slot()));
            }
        }
        mListedAddresses = Set.copyOf(addresses);
        mComponents.membership().onHosts(listedDaemons);
        mLeavingListener.accept(isListedLeaving(listedDaemons));
        // The list may confirm that a silent member is lost, without a membership event.
        publishMembers();
        synchronized (mReplicaAvailability) {
            mReplicaAvailability.updateHosts(hosts, mComponents.time().monotonicNanos());
        }
        connectToPeers();
    }

    @Override
    public long acceptedVersion() {
        return Math.max(
                mComponents.configurationState().version(),
                mConfigurationWorker.newestOfferedVersion());
    }

    @Override
    public boolean isWatcher() {
        return WatcherChoice.isWatcher(
                mSelf.incarnation(), mComponents.membership().live().keySet());
    }

    @Override
    public void onConfigurationReadResult(final Optional<String> failure) {
        failure.ifPresentOrElse(
                mComponents.startupReadiness()::serviceFailed,
                mComponents.startupReadiness()::serviceAnswered);
    }

    /** A list without this daemon does not count, since the list may omit a live host. */
    private boolean isListedLeaving(final List<ListedHost> listedDaemons) {
        return listedDaemons.stream()
                .anyMatch(host -> host.slot() == mSelf.slot() && host.leaving());
    }

    private void onHeartbeat(final PeerIdentity from, final Heartbeat heartbeat) {
        final Incarnation sender = from.incarnation();
        final long now = mComponents.time().monotonicNanos();
        mComponents
                .startupReadiness()
                .heardPeer(
                        slotName(from.slot()), heartbeat.configVersion(), heartbeat.configDigest());
        mComponents
                .configurationExchange()
                .onHeartbeat(sender, heartbeat.configVersion(), heartbeat.configDigest());
        mComponents.scheduler().onPeerLoad(sender, heartbeat.load(), now);
        heartbeat
                .floors()
                .forEach(notice -> mComponents.scheduler().onShedNotice(sender, notice, now));
    }

    private void onAccepted(final Configuration configuration) {
        LOG.log(Level.INFO, "config: Version " + configuration.version() + " is in force.");
        mComponents.claims().configure(configuration);
        mComponents.customers().onConfiguration(configuration);
        final long now = mComponents.time().monotonicNanos();
        synchronized (mReplicaAvailability) {
            mReplicaAvailability.configure(configuration, now);
        }
        // An immediate heartbeat tells the peers about the new version sooner than the next regular
        // one.
        final PeerTransport transport = mTransport;
        if (transport != null) {
            sendHeartbeat(transport.connectedPeers(), now);
        }
    }

    private void onMembershipEvent(final MembershipEvent event) {
        LOG.log(
                Level.INFO,
                "member: Slot " + event.slot() + " is " + event.to() + ". " + event.reason());
        mComponents
                .decisionLog()
                .add(
                        new DecisionRecord(
                                mComponents.time().wallMillis(),
                                "",
                                Step.MEMBERSHIP,
                                event.to().name().toLowerCase(Locale.ROOT),
                                slotName(event.slot()),
                                event.reason()));
        if (event.to() == MemberState.DEAD || event.to() == MemberState.LEAVING) {
            mComponents.startupReadiness().lostPeer(slotName(event.slot()));
        }
        publishMembers();
    }

    private void publishMembers() {
        final Map<Incarnation, Integer> live = mComponents.membership().live();
        mComponents.claims().updateLiveMembers(live);
        mComponents.customers().updateLiveDaemons(Math.max(1, live.size()));
        mComponents
                .scheduler()
                .onMembers(
                        List.copyOf(live.keySet()),
                        mComponents.membership().unconfirmedDeaths(),
                        mComponents.time().monotonicNanos());
    }

    private void onMembershipTimer(final long nowNanos) {
        mComponents.membership().onTimer(nowNanos);
        mComponents
                .membership()
                .gossip(nowNanos)
                .forEach(outgoing -> mTransport.send(outgoing.to(), outgoing.message()));
    }

    private void sendHeartbeats(final long nowNanos) {
        sendHeartbeat(mComponents.membership().peers(), nowNanos);
    }

    private void sendHeartbeat(final Iterable<Incarnation> peers, final long nowNanos) {
        final Heartbeat heartbeat =
                mComponents
                        .membership()
                        .heartbeat(
                                mComponents.configurationState().version(),
                                mComponents.configurationState().digest(),
                                mComponents.scheduler().load(nowNanos),
                                mComponents.scheduler().raisedThresholds(nowNanos));
        final PeerTransport transport = mTransport;
        if (transport != null) {
            peers.forEach(peer -> transport.send(peer, heartbeat));
        }
    }

    private void connectToPeers() {
        final PeerTransport transport = mTransport;
        if (transport != null) {
            final Set<InetSocketAddress> addresses = new HashSet<>(mSeeds);
            addresses.addAll(mListedAddresses);
            transport.connect(addresses);
        }
    }

    private static Optional<InetSocketAddress> parseAddress(final String address) {
        final int colon = address.lastIndexOf(':');
        try {
            return Optional.of(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))));
        } catch (final IndexOutOfBoundsException | IllegalArgumentException e) {
            LOG.log(Level.WARNING, "member: Host address " + address + " is malformed.");
            return Optional.empty();
        }
    }

    private static String slotName(final int slot) {
        return "slot " + slot;
    }
}
