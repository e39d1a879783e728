package io.persimmonreel.daemon;

import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.config.ConfigurationExchange;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.config.StartupReadiness;
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
import io.persimmonreel.core.schedule.DaemonScheduler;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.fleet.ExplainExchange;
import io.persimmonreel.daemon.fleet.FleetComponents;
import io.persimmonreel.daemon.fleet.FleetNode;
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
import io.persimmonreel.daemon.request.AvailabilityScheduler;
import io.persimmonreel.daemon.request.FleetClaimGateway;
import io.persimmonreel.daemon.request.FleetQuarantineGateway;
import io.persimmonreel.daemon.request.ReplicaReportListener;
import io.persimmonreel.daemon.request.RequestComponents;
import io.persimmonreel.daemon.request.RequestCoordinator;
import io.persimmonreel.daemon.settings.DaemonSettings;
import io.persimmonreel.daemon.time.ScheduledTimerService;
import io.persimmonreel.daemon.time.SystemTimeSource;
import io.persimmonreel.daemon.tls.PeerTls;
import io.persimmonreel.daemon.tls.ReloadingSslContext;
import io.persimmonreel.daemon.upstream.ControlClient;
import io.persimmonreel.daemon.upstream.EngineClient;
import io.persimmonreel.daemon.upstream.LoadPoller;
import io.persimmonreel.daemon.upstream.PlainClient;
import io.persimmonreel.daemon.upstream.UpstreamHttpClient;
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
 * Runs one daemon: takes requests of callers, schedules them together with its peers and sends them
 * to upstreams.
 *
 * <p>All state is in memory and ends with the process. An instance is started and stopped at most
 * once.
 */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = System.getLogger(Daemon.class.getName());

    /** The fleet name in peer handshakes, the same everywhere; secrets keep installations apart. */
    private static final String FLEET_NAME = "persimmonreel";

    private static final int TIMER_THREADS = 2;
    private static final int PLATFORM_THREADS = 1;
    private static final Duration QUARANTINE_INTERVAL = Duration.ofSeconds(30);

    /** The wait between drain and close, in which load balancers see the daemon as not ready. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(500);

    private final DaemonSettings mSettings;
    private final LinkPolicy mLinkPolicy;
    private final TimeSource mTime = new SystemTimeSource();
    private final ScheduledTimerService mTimers = new ScheduledTimerService(mTime, TIMER_THREADS);
    private final ExecutorService mUpstreamExecutor;
    private final ExecController mPlatformExec = new DefaultExecController(PLATFORM_THREADS);
    private final PeerIdentity mIdentity;
    private final DecisionRing mDecisions = new DecisionRing();
    private final ConfigurationState mConfigurationState =
            new ConfigurationState(mTime, mDecisions);
    private final StartupReadiness mStartupReadiness =
            new StartupReadiness(mTime, mConfigurationState);
    private final CustomerDirectory mCustomers = new CustomerDirectory(mTime);
    private final ObjectiveTracker mObjectives = new ObjectiveTracker(mTime);
    private final DaemonMetrics mMetrics = new DaemonMetrics();
    private final Membership mMembership;
    private final ClaimManager mClaims;
    private final AvailabilityScheduler mScheduler;
    private final FleetNode mFleetNode;
    private final PeerTransport mTransport;
    private final ExplainExchange mExplainExchange;
    private final RequestCoordinator mCoordinator;
    private final OrderPlanner mOrderPlanner;
    private final ControlClient mControlClient;
    private LoadPoller mLoadPoller;
    private PlatformClient mPlatformClient;
    private CallerServer mCallerServer;
    private OperatorServer mOperatorServer;
    private ReloadingSslContext mCallerTls;
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
     * Creates a daemon whose connections to peers a policy restricts.
     *
     * @param settings the settings
     * @param links decides which connections to peers may be used
     */
    public Daemon(final DaemonSettings settings, final LinkPolicy links) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mLinkPolicy = Objects.requireNonNull(links, "links");
        final SecureRandom random = new SecureRandom();
        final Incarnation self = new Incarnation(random.nextLong());
        final long seed = random.nextLong();
        final byte[] secret = settings.fleetSecret().bytes();
        final PeerSender sender = this::send;
        mIdentity = new PeerIdentity(self, settings.slot(), settings.zone());
        mMembership =
                new Membership(self, settings.slot(), settings.zone(), mTime, new Random(seed));
        mClaims = new ClaimManager(self, settings.slot(), mTime, sender, mDecisions, secret);
        mScheduler =
                new AvailabilityScheduler(
                        new DaemonScheduler(
                                self, seed, new TimestampingDecisionLog(mDecisions, mTime)));
        mFleetNode =
                new FleetNode(mIdentity, Set.copyOf(settings.peers()), fleetComponents(sender));
        mTransport =
                new PeerTransport(
                        mIdentity,
                        FLEET_NAME,
                        settings.fleetSecret().accepted(),
                        mFleetNode,
                        mLinkPolicy);
        mExplainExchange = new ExplainExchange(sender, mDecisions::ofRequest);
        mUpstreamExecutor =
                Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        final UpstreamHttpClient http = new UpstreamHttpClient(mUpstreamExecutor);
        mControlClient = new ControlClient(http);
        mOrderPlanner = new OrderPlanner(self, mTime, mConfigurationState, mDecisions);
        final FleetQuarantineGateway quarantine =
                new FleetQuarantineGateway(createQuarantine(), mTime, mFleetNode::broadcast);
        mCoordinator = new RequestCoordinator(requestComponents(http, quarantine));
        mFleetNode.setLeavingListener(mCoordinator::setListedLeaving);
        mFleetNode.addHandler(mExplainExchange);
        mFleetNode.addHandler(quarantine);
        mConfigurationState.subscribe(mCoordinator::configure);
        mConfigurationState.subscribe(mObjectives);
        mMembership.subscribe(
                event ->
                        mOrderPlanner.updateMembers(
                                mMembership.live().keySet(), mMembership.unconfirmedDeaths()));
    }

    /**
     * Starts the daemon, which takes requests as soon as it is ready.
     *
     * @throws DaemonException if an address can't be bound or a certificate can't be read
     */
    public void start() throws DaemonException {
        try {
            enablePeerTls();
            mPeerAddress = mTransport.bind(mSettings.peerAddress());
            mFleetNode.start(mTransport, mTimers);
            mCoordinator.start();
            startLoadPoller();
            startServers();
            mPlatformClient =
                    new PlatformClient(
                            platformUri(), mPlatformExec, mFleetNode, new Random(mIdentity.slot()));
            mPlatformClient.start(mTimers);
        } catch (final PeerException | IOException e) {
            close();
            throw new DaemonException(Step.RECEIVE, "slot " + mIdentity.slot(), "start failed", e);
        }
        LOG.log(
                Level.INFO,
                "daemon: Slot "
                        + mIdentity.slot()
                        + " listens for callers on port "
                        + callerPort()
                        + ".");
    }

    /**
     * Drains and closes the daemon: tells peers and callers that it is leaving, refuses queued
     * requests and waits for dispatched ones to finish.
     *
     * @return true if all requests ended within the drain limit
     * @throws InterruptedException if the calling thread is interrupted
     */
    public boolean stop() throws InterruptedException {
        LOG.log(Level.INFO, "daemon: Slot " + mIdentity.slot() + " is leaving the fleet.");
        mFleetNode.leave();
        boolean drained = true;
        try {
            mCoordinator.drain().get(mSettings.drain().toMillis(), TimeUnit.MILLISECONDS);
        } catch (final TimeoutException | ExecutionException e) {
            drained = false;
            LOG.log(
                    Level.WARNING,
                    "daemon: "
                            + mCoordinator.inProgress()
                            + " requests did not end within the drain limit.");
        }
        TimeUnit.MILLISECONDS.sleep(CLOSE_DELAY.toMillis());
        close();
        return drained;
    }

    /** Closes the daemon without a drain and without notice to peers, as a crash would. */
    @Override
    public void close() {
        new ResourceCloser()
                .close(
                        mPlatformClient,
                        mLoadPoller,
                        mCallerServer,
                        mOperatorServer,
                        mCallerTls,
                        mPeerTls,
                        mCoordinator,
                        mFleetNode,
                        mTransport,
                        mTimers,
                        mPlatformExec);
        mUpstreamExecutor.shutdownNow();
    }

    /**
     * Returns the port on which callers connect.
     *
     * @return the bound port
     */
    public int callerPort() {
        return mCallerServer.port();
    }

    /**
     * Returns the port on which operators connect.
     *
     * @return the bound port
     */
    public int operatorPort() {
        return mOperatorServer.port();
    }

    /**
     * Returns the address on which peers connect.
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
        return mStartupReadiness.waitingFor();
    }

    /**
     * Returns the state of the daemon for operators.
     *
     * @return a snapshot
     */
    public DaemonState state() {
        return new DaemonState(
                mIdentity.slot(),
                mIdentity.incarnation().toString(),
                mIdentity.zone(),
                mConfigurationState.version(),
                mConfigurationState.digest(),
                mConfigurationState.rejections().stream()
                        .map(rejection -> rejection.version() + ": " + rejection.findings().get(0))
                        .toList(),
                waitingFor(),
                mMembership.live().entrySet().stream()
                        .map(member -> member.getValue() + ":" + member.getKey())
                        .sorted()
                        .toList(),
                mMembership.unconfirmedDeaths(),
                mCoordinator.inProgress(),
                mCoordinator.isDraining(),
                mTransport.receivedBytes(),
                mTransport.droppedMessages());
    }

    private FleetComponents fleetComponents(final PeerSender sender) {
        return new FleetComponents(
                mMembership,
                mClaims,
                mConfigurationState,
                new ConfigurationExchange(mConfigurationState, sender, mTime, mDecisions),
                mStartupReadiness,
                mCustomers,
                mScheduler,
                mTime,
                mDecisions);
    }

    private RequestComponents requestComponents(
            final UpstreamHttpClient http, final FleetQuarantineGateway quarantine) {
        final ObjectiveRecorder objectives = new ObjectiveRecorder(mObjectives);
        return new RequestComponents(
                mScheduler,
                new FleetClaimGateway(mClaims),
                quarantine,
                new EngineClient(http),
                new PlainClient(http),
                mControlClient,
                mOrderPlanner::serving,
                mTime,
                mDecisions,
                summary -> {
                    mMetrics.onFinished(summary);
                    objectives.onFinished(summary);
                },
                mFleetNode::broadcast);
    }

    private Quarantine createQuarantine() {
        final Quarantine quarantine = new Quarantine();
        final TimerService.TimerListener expiry = quarantine::onTimer;
        mTimers.every("quarantine", QUARANTINE_INTERVAL, expiry);
        return quarantine;
    }

    private void startLoadPoller() {
        final OrderSender orders =
                new OrderSender(
                        mOrderPlanner, mConfigurationState, mControlClient, mScheduler, mTime);
        mLoadPoller =
                new LoadPoller(
                        mControlClient,
                        mTimers,
                        mTime,
                        mConfigurationState::accepted,
                        new ReplicaReportListener(mScheduler, orders::onReport));
    }

    private void enablePeerTls() throws IOException {
        if (mSettings.peerTls().isPresent()) {
            final DaemonSettings.PeerTlsFiles files = mSettings.peerTls().get();
            mPeerTls = new PeerTls(files.certificate(), files.key(), files.authority(), mTimers);
            mTransport.enableTls(mPeerTls);
        }
    }

    private void startServers() throws IOException {
        if (mSettings.tls().isPresent()) {
            final DaemonSettings.TlsFiles files = mSettings.tls().get();
            mCallerTls = new ReloadingSslContext(files.certificate(), files.key(), mTimers);
        }
        mCallerServer =
                new CallerServer(
                        mSettings.callerAddress(),
                        Optional.ofNullable(mCallerTls),
                        new CallerParts(
                                mCoordinator,
                                mConfigurationState::accepted,
                                mStartupReadiness::waitingFor,
                                mCustomers,
                                new RequestIdGenerator(mIdentity.incarnation()),
                                mClaims::issueKey,
                                mDecisions,
                                mMetrics,
                                mTime));
        mMetrics.registerStateGauges(
                mConfigurationState::version,
                () -> mMembership.live().size(),
                mCoordinator::inProgress);
        mOperatorServer =
                new OperatorServer(
                        mSettings.operatorAddress(),
                        new OperatorParts(
                                mMetrics,
                                this::waitingFor,
                                this::state,
                                id -> mExplainExchange.gather(id, mTransport.connectedPeers()),
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
