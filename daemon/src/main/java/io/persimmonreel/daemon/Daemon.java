package io.persimmonreel.daemon;

import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.config.ConfigurationExchange;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.config.StartupState;
import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.explain.DecisionRing;
import io.persimmonreel.core.membership.Membership;
import io.persimmonreel.core.objective.ObjectiveTracker;
import io.persimmonreel.core.order.OrderPlanner;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerSender;
import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.FleetScheduler;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.fleet.ExplainExchange;
import io.persimmonreel.daemon.fleet.FleetNode;
import io.persimmonreel.daemon.fleet.FleetParts;
import io.persimmonreel.daemon.fleet.OrderSender;
import io.persimmonreel.daemon.http.CallerParts;
import io.persimmonreel.daemon.http.CallerServer;
import io.persimmonreel.daemon.http.RequestIdGenerator;
import io.persimmonreel.daemon.operator.DaemonMetrics;
import io.persimmonreel.daemon.operator.OperatorParts;
import io.persimmonreel.daemon.operator.OperatorServer;
import io.persimmonreel.daemon.peer.LinkPolicy;
import io.persimmonreel.daemon.peer.PeerException;
import io.persimmonreel.daemon.peer.PeerIdentity;
import io.persimmonreel.daemon.peer.PeerTransport;
import io.persimmonreel.daemon.platform.PlatformClient;
import io.persimmonreel.daemon.request.FleetClaims;
import io.persimmonreel.daemon.request.FleetQuarantine;
import io.persimmonreel.daemon.request.HealthScheduler;
import io.persimmonreel.daemon.request.ReplicaWatch;
import io.persimmonreel.daemon.request.RequestCoordinator;
import io.persimmonreel.daemon.request.RequestParts;
import io.persimmonreel.daemon.settings.DaemonSettings;
import io.persimmonreel.daemon.time.ScheduledTimerService;
import io.persimmonreel.daemon.time.SystemTimeSource;
import io.persimmonreel.daemon.tls.PeerTls;
import io.persimmonreel.daemon.tls.ReloadingTls;
import io.persimmonreel.daemon.upstream.ControlClient;
import io.persimmonreel.daemon.upstream.EngineClient;
import io.persimmonreel.daemon.upstream.LoadPoller;
import io.persimmonreel.daemon.upstream.PlainClient;
import io.persimmonreel.daemon.upstream.UpstreamHttp;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;

/**
 * Runs one daemon: entry for callers, link to peers and platform, and path to upstreams.
 *
 * <p>A daemon keeps nothing beyond its process. It is started once and stopped once.
 */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = System.getLogger(Daemon.class.getName());

    /** All daemons of one installation share a secret, which keeps installations apart. */
    private static final String FLEET = "persimmonreel";

    private static final int TIMER_THREADS = 2;
    private static final int PLATFORM_THREADS = 1;
    private static final Duration QUARANTINE_INTERVAL = Duration.ofSeconds(30);

    /** Load balancers see the daemon as not ready before its port closes. */
    private static final Duration LINGER = Duration.ofMillis(500);

    private final DaemonSettings mSettings;
    private final LinkPolicy mLinks;
    private final TimeSource mTime = new SystemTimeSource();
    private final ScheduledTimerService mTimers = new ScheduledTimerService(mTime, TIMER_THREADS);
    private final ExecutorService mUpstreamThreads;
    private final ExecController mPlatformThreads = new DefaultExecController(PLATFORM_THREADS);
    private final PeerIdentity mSelf;
    private final DecisionRing mRing = new DecisionRing();
    private final ConfigurationState mState = new ConfigurationState(mTime, mRing);
    private final StartupState mStartup = new StartupState(mTime, mState);
    private final CustomerDirectory mCustomers = new CustomerDirectory(mTime);
    private final ObjectiveTracker mObjectives = new ObjectiveTracker(mTime);
    private final DaemonMetrics mMetrics = new DaemonMetrics();
    private final Membership mMembership;
    private final ClaimManager mClaims;
    private final HealthScheduler mScheduler;
    private final FleetNode mNode;
    private final PeerTransport mTransport;
    private final ExplainExchange mExplain;
    private final RequestCoordinator mCoordinator;
    private final OrderPlanner mOrders;
    private final ControlClient mControl;
    private LoadPoller mPoller;
    private PlatformClient mPlatform;
    private CallerServer mCallers;
    private OperatorServer mOperators;
    private ReloadingTls mTls;
    private PeerTls mPeerTls;
    private InetSocketAddress mPeerAddress;

    /**
     * Creates a daemon.
     *
     * @param settings the settings
     */
    public Daemon(final DaemonSettings settings) {
        this(settings, LinkPolicy.ALLOW_ALL);
    }

    /**
     * Creates a daemon whose links to peers can be cut.
     *
     * @param settings the settings
     * @param links decides which links may be used
     */
    public Daemon(final DaemonSettings settings, final LinkPolicy links) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mLinks = Objects.requireNonNull(links, "links");
        final SecureRandom random = new SecureRandom();
        final Incarnation self = new Incarnation(random.nextLong());
        final long seed = random.nextLong();
        final byte[] secret = settings.fleetSecret().bytes();
        final PeerSender sender = this::send;
        mSelf = new PeerIdentity(self, settings.slot(), settings.zone());
        mMembership =
                new Membership(self, settings.slot(), settings.zone(), mTime, new Random(seed));
        mClaims = new ClaimManager(self, settings.slot(), mTime, sender, mRing, secret);
        mScheduler =
                new HealthScheduler(
                        new FleetScheduler(self, seed, new TimedDecisionLog(mRing, mTime)));
        mNode = new FleetNode(mSelf, Set.copyOf(settings.peers()), fleetParts(sender));
        mTransport =
                new PeerTransport(mSelf, FLEET, settings.fleetSecret().accepted(), mNode, mLinks);
        mExplain = new ExplainExchange(sender, mRing::ofRequest);
        mUpstreamThreads = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        final UpstreamHttp http = new UpstreamHttp(mUpstreamThreads);
        mControl = new ControlClient(http);
        mOrders = new OrderPlanner(self, mTime, mState, mRing);
        final FleetQuarantine quarantine =
                new FleetQuarantine(quarantine(), mTime, mNode::broadcast);
        mCoordinator = new RequestCoordinator(requestParts(http, quarantine));
        mNode.onListedLeaving(mCoordinator::listedLeaving);
        mNode.handle(mExplain);
        mNode.handle(quarantine);
        mState.subscribe(mCoordinator::configure);
        mState.subscribe(mObjectives);
        mMembership.subscribe(
                event ->
                        mOrders.updateMembers(
                                mMembership.live().keySet(), mMembership.unconfirmed()));
    }

    /**
     * Starts the daemon. It takes requests once it is ready.
     *
     * @throws DaemonException if an address can't be bound or a certificate can't be read
     */
    public void start() throws DaemonException {
        try {
            securePeers();
            mPeerAddress = mTransport.bind(mSettings.peerAddress());
            mNode.start(mTransport, mTimers);
            mCoordinator.start();
            startUpstreams();
            startServers();
            mPlatform =
                    new PlatformClient(
                            platformUri(), mPlatformThreads, mNode, new Random(mSelf.slot()));
            mPlatform.start(mTimers);
        } catch (final PeerException | IOException e) {
            close();
            throw new DaemonException(Step.RECEIVE, "slot " + mSelf.slot(), "start failed", e);
        }
        LOG.log(
                Level.INFO,
                "daemon: Slot " + mSelf.slot() + " listens to callers on " + callerPort() + ".");
    }

    /**
     * Stops the daemon without cutting off a request in progress: peers and callers are told,
     * queued requests are refused, and dispatched ones finish.
     *
     * @return true if all requests ended within the drain time
     * @throws InterruptedException if the calling thread is interrupted
     */
    public boolean stop() throws InterruptedException {
        LOG.log(Level.INFO, "daemon: Slot " + mSelf.slot() + " is leaving.");
        mNode.leave();
        boolean drained = true;
        try {
            mCoordinator.drain().get(mSettings.drain().toMillis(), TimeUnit.MILLISECONDS);
        } catch (final TimeoutException | ExecutionException e) {
            drained = false;
            LOG.log(
                    Level.WARNING,
                    "daemon: " + mCoordinator.inProgress() + " requests did not end in time.");
        }
        TimeUnit.MILLISECONDS.sleep(LINGER.toMillis());
        close();
        return drained;
    }

    /** Ends the daemon at once, as a crash of its process would. */
    @Override
    public void close() {
        new PartCloser()
                .close(
                        mPlatform,
                        mPoller,
                        mCallers,
                        mOperators,
                        mTls,
                        mPeerTls,
                        mCoordinator,
                        mNode,
                        mTransport,
                        mTimers,
                        mPlatformThreads);
        mUpstreamThreads.shutdownNow();
    }

    /**
     * Returns the port for callers.
     *
     * @return the bound port
     */
    public int callerPort() {
        return mCallers.port();
    }

    /**
     * Returns the operators' port.
     *
     * @return the bound port
     */
    public int operatorPort() {
        return mOperators.port();
    }

    /**
     * Returns the address for peers.
     *
     * @return the bound address
     */
    public InetSocketAddress peerAddress() {
        return mPeerAddress;
    }

    /**
     * Returns what the daemon waits for before it takes requests.
     *
     * @return short sentences, empty if the daemon is ready
     */
    public List<String> waitingFor() {
        if (mCoordinator.isDraining()) {
            return List.of("The daemon is leaving.");
        }
        return mStartup.waitingFor();
    }

    /**
     * Returns the state of the daemon.
     *
     * @return the state at this moment
     */
    public DaemonView view() {
        return new DaemonView(
                mSelf.slot(),
                mSelf.incarnation().toString(),
                mSelf.zone(),
                mState.version(),
                mState.digest(),
                mState.rejections().stream()
                        .map(r -> r.version() + ": " + r.findings().get(0))
                        .toList(),
                waitingFor(),
                mMembership.live().entrySet().stream()
                        .map(member -> member.getValue() + ":" + member.getKey())
                        .sorted()
                        .toList(),
                mMembership.unconfirmed(),
                mCoordinator.inProgress(),
                mCoordinator.isDraining(),
                mTransport.receivedBytes(),
                mTransport.droppedMessages());
    }

    private FleetParts fleetParts(final PeerSender sender) {
        return new FleetParts(
                mMembership,
                mClaims,
                mState,
                new ConfigurationExchange(mState, sender, mTime, mRing),
                mStartup,
                mCustomers,
                mScheduler,
                mTime,
                mRing);
    }

    private RequestParts requestParts(final UpstreamHttp http, final FleetQuarantine quarantine) {
        final ObjectiveRecorder objectives = new ObjectiveRecorder(mObjectives);
        return new RequestParts(
                mScheduler,
                new FleetClaims(mClaims),
                quarantine,
                new EngineClient(http),
                new PlainClient(http),
                mControl,
                mOrders::serving,
                mTime,
                mRing,
                summary -> {
                    mMetrics.onFinished(summary);
                    objectives.onFinished(summary);
                },
                mNode::broadcast);
    }

    private Quarantine quarantine() {
        final Quarantine quarantine = new Quarantine();
        final TimerService.TimerListener expiry = quarantine::onTimer;
        mTimers.every("quarantine", QUARANTINE_INTERVAL, expiry);
        return quarantine;
    }

    private void startUpstreams() {
        final OrderSender orders = new OrderSender(mOrders, mState, mControl, mScheduler, mTime);
        mPoller =
                new LoadPoller(
                        mControl,
                        mTimers,
                        mTime,
                        mState::accepted,
                        new ReplicaWatch(mScheduler, orders::onReport));
    }

    private void securePeers() throws IOException {
        if (mSettings.peerTls().isPresent()) {
            final DaemonSettings.PeerTlsFiles files = mSettings.peerTls().get();
            mPeerTls = new PeerTls(files.certificate(), files.key(), files.authority(), mTimers);
            mTransport.secure(mPeerTls);
        }
    }

    private void startServers() throws IOException {
        if (mSettings.tls().isPresent()) {
            final DaemonSettings.TlsFiles files = mSettings.tls().get();
            mTls = new ReloadingTls(files.certificate(), files.key(), mTimers);
        }
        mCallers =
                new CallerServer(
                        mSettings.callerAddress(),
                        Optional.ofNullable(mTls),
                        new CallerParts(
                                mCoordinator,
                                mState::accepted,
                                mStartup::waitingFor,
                                mCustomers,
                                new RequestIdGenerator(mSelf.incarnation()),
                                mClaims::issueKey,
                                mRing,
                                mMetrics,
                                mTime));
        mMetrics.registerStateGauges(
                mState::version, () -> mMembership.live().size(), mCoordinator::inProgress);
        mOperators =
                new OperatorServer(
                        mSettings.operatorAddress(),
                        new OperatorParts(
                                mMetrics,
                                this::waitingFor,
                                this::view,
                                id -> mExplain.gather(id, mTransport.connected()),
                                mObjectives::report));
    }

    private URI platformUri() {
        final InetSocketAddress address = mSettings.platformAddress();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    private void send(final Incarnation to, final PeerMessage message) {
        mTransport.send(to, message);
    }
}
