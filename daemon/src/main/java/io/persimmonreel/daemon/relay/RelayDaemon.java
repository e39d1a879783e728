package io.persimmonreel.daemon.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.persimmonreel.core.admission.ShutdownTimes;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.quota.QuotaLife;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.shutdown.CloseReason;
import io.persimmonreel.core.shutdown.ShutdownActions;
import io.persimmonreel.core.shutdown.ShutdownSequence;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.DaemonException;
import io.persimmonreel.daemon.cost.ControlCost;
import io.persimmonreel.daemon.directory.DirectoryFormat;
import io.persimmonreel.daemon.directory.DirectorySource;
import io.persimmonreel.daemon.directory.DirectoryState;
import io.persimmonreel.daemon.directory.DirectoryTimings;
import io.persimmonreel.daemon.directory.DirectoryWatch;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.peer.PeerException;
import io.persimmonreel.daemon.peer.PeerIdentity;
import io.persimmonreel.daemon.peer.PeerTransport;
import io.persimmonreel.daemon.settings.FleetSecret;
import io.persimmonreel.daemon.time.ScheduledTimerService;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs one relay: the server for callers, the connections to replicas and peers, and the directory.
 *
 * <p>All parts share one event loop, so that a request wakes one thread only. A relay stores no
 * state on disk.
 */
public final class RelayDaemon implements AutoCloseable {
    /** The fleet name, the same for all installations; their different secrets keep them apart. */
    static final String FLEET_NAME = "persimmonreel-relay";

    /**
     * The timer interval while requests are in progress. It limits the delay with which a deadline,
     * a stall or a free replica is detected.
     */
    private static final Duration ACTIVE_TICK = Duration.ofMillis(40);

    /**
     * The timer interval of an idle relay; the intervals for digests, peer connections and caller
     * checks are multiples of it.
     */
    private static final Duration IDLE_TICK = Duration.ofMillis(200);

    private static final Duration DIGEST_INTERVAL = IDLE_TICK;
    private static final Duration PEER_CONNECTION_INTERVAL = IDLE_TICK.multipliedBy(3);
    private static final Duration CALLER_CHECK_INTERVAL = IDLE_TICK.multipliedBy(3);
    private static final Duration QUARANTINE_INTERVAL = Duration.ofSeconds(30);

    /**
     * The time without a message after which a peer connection is considered dead; digests are due
     * every 200 ms.
     */
    private static final Duration PEER_IDLE_TIMEOUT = Duration.ofMillis(2_000);

    /**
     * The time between the start of the shutdown and the closing of idle connections; load
     * balancers need up to this time to stop sending connections to a daemon that is not ready.
     */
    private static final Duration SHUTDOWN_LINGER = Duration.ofMillis(2_500);

    /**
     * The share of the grace time that is reserved for the exit of the process, which takes up to a
     * second on a host with a third of a core. Callers are told that requests may be cut off in the
     * last sixth of the grace time.
     */
    private static final double GRACE_MARGIN_SHARE = 0.15;

    /**
     * A replica that says that it is leaving is used as a last resort for this part of the time
     * within which it must stop receiving requests.
     */
    private static final int LAST_RESORT_DIVISOR = 2;

    /** The window of the retry budget of the fleet. */
    private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final Duration SHUTDOWN_CHECK_INTERVAL = Duration.ofMillis(100);

    private volatile RelaySettings mSettings;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final NioEventLoopGroup mGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true));
    private final TimerService mTimers;
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final QuotaUseLog mQuotaUse;
    private final RelayService mService;
    private final RelayServer mServer;
    private final DirectoryState mDirectory;
    private final DirectoryWatch mDirectoryWatch;
    private final PeerExchange mPeers;
    private final PeerTransport mTransport;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private volatile boolean mShuttingDown;
    private boolean mActiveTicking;
    private ShutdownSequence mShutdown;
    private InetSocketAddress mCallerAddress;
    private InetSocketAddress mReadinessAddress;

    /** Applies the steps of a shutdown to the server and to the requests in progress. */
    private final class Shutdown implements ShutdownActions {
        @Override
        public void closeIdleConnections() {
            mServer.closeIdle();
        }

        @Override
        public void stopListening(final CloseReason reason) {
            mServer.stopListening(reason);
        }

        @Override
        public boolean isListening() {
            return mServer.isListening();
        }

        @Override
        public boolean isBusy() {
            return mService.active() > 0 || mServer.connectionCount() > 0;
        }

        @Override
        public void failRemaining() {
            mService.abortAll();
            mServer.closeUnanswered();
        }

        @Override
        public void end() {
            mStopped.countDown();
        }
    }

    /** Creates the directory source on the event loop of a relay. */
    @FunctionalInterface
    public interface SourceFactory {
        /**
         * Creates a source.
         *
         * @param loop the event loop on which the source reports results
         * @param address the address of the directory
         * @param responseTimeout the time for a response, beyond the wait of a watch
         * @return the source
         */
        DirectorySource create(EventLoop loop, InetSocketAddress address, Duration responseTimeout);
    }

    /**
     * Creates a relay.
     *
     * @param settings the settings
     * @param secret the secret that all daemons share
     * @param dialect translates header fields
     * @param format decodes the documents of the directory
     * @param sources creates the directory source
     * @param time the clocks
     * @param log the log for decisions on requests and for events of the daemon
     */
    public RelayDaemon(
            final RelaySettings settings,
            final FleetSecret secret,
            final RelayDialect dialect,
            final DirectoryFormat format,
            final SourceFactory sources,
            final TimeSource time,
            final EventLog log) {
        mSettings = settings;
        mTime = time;
        mLog = log;
        final ScheduledTimerService timers = new ScheduledTimerService(time, mGroup.next());
        final ControlCost cost = new ControlCost(mMetrics.set());
        timers.observe(cost);
        mTimers = timers;
        final SecureRandom random = new SecureRandom();
        final long seed = random.nextLong();
        final RetryBudget budget = new RetryBudget(settings.retryRatio(), settings.retrySlack());
        if (!settings.firstStart()) {
            budget.withholdSlack();
            mTimers.after("retry-slack", RETRY_WINDOW, now -> budget.grantSlack());
        }
        final ExchangeLog exchangeLog = new ExchangeLog(log, mMetrics);
        mQuotaUse = new QuotaUseLog(log, mMetrics, time.monotonicNanos());
        mService =
                new RelayService(
                        time,
                        new RelayLog(log, mMetrics, exchangeLog, mQuotaUse),
                        dialect,
                        new UpstreamConnectionPool(
                                new SocketReplicaConnector(mGroup.next()),
                                dialect,
                                time,
                                exchangeLog),
                        budget,
                        new FleetQuota(settings.quotaTolerance(), QuotaLife.MESH),
                        mGroup.next(),
                        settings.propagation().dividedBy(LAST_RESORT_DIVISOR),
                        settings.heldLimits(),
                        seed);
        mServer = new RelayServer(dialect, time, log, mService::limits, mService::bufferedBytes);
        mDirectory = new DirectoryState(format, mService, log);
        mDirectory.countTo(mMetrics::onDirectory);
        mDirectory.observe(mService.takeUps());
        final DirectoryTimings timings =
                DirectoryTimings.within(settings.propagation(), settings.recovery());
        mDirectoryWatch =
                new DirectoryWatch(
                        sources.create(
                                mGroup.next(),
                                settings.directoryAddress(),
                                timings.responseTimeout()),
                        mDirectory,
                        mTimers,
                        time,
                        timings,
                        log,
                        seed + 3);
        settings.directoryRetention().ifPresent(mDirectoryWatch::readHistory);
        mPeers =
                new PeerExchange(
                        settings, mService, mDirectory, mDirectoryWatch, budget, time, log);
        final PeerIdentity self =
                new PeerIdentity(new Incarnation(random.nextLong()), 1, settings.zone());
        mTransport =
                new PeerTransport(
                        self, FLEET_NAME, secret.accepted(), mPeers, mGroup, PEER_IDLE_TIMEOUT);
        mTransport.observe(cost);
        mService.notices().sendChangesTo(mPeers::broadcast);
        mService.configurationMonitor().observeDirectory(mDirectoryWatch::silentNanos);
    }

    /**
     * Starts the relay. It becomes ready once it has a configuration and at least one replica.
     *
     * @throws DaemonException if an address can't be bound
     */
    public void start() throws DaemonException {
        try {
            mCallerAddress = mServer.bind(mGroup, mSettings.callerAddress(), mService);
            mTransport.bind(mSettings.peerAddress());
            mReadinessAddress =
                    new StatusServer(Map.of("/readyz", this::readiness))
                            .bind(mGroup, mSettings.readinessAddress());
            new StatusServer(Map.of("/metrics", this::metrics))
                    .bind(mGroup, mSettings.metricsAddress());
        } catch (final IOException | PeerException e) {
            close();
            throw new DaemonException(Step.RECEIVE, mSettings.name(), "start failed", e);
        }
        mGroup.next().execute(this::startOnEventLoop);
        mLog.event("daemon", "started")
                .put("zone", mSettings.zone())
                .put("callers", mCallerAddress.toString())
                .put("peers", mSettings.peerAddress().toString())
                .put("directory", mSettings.directoryAddress().toString())
                .put("seeds", mSettings.seeds().size())
                .write();
    }

    /**
     * Applies changed settings. Changes of addresses and of the zone take effect at the next start.
     *
     * @param settings the settings
     */
    public void reload(final RelaySettings settings) {
        if (!settings.callerAddress().equals(mSettings.callerAddress())
                || !settings.peerAddress().equals(mSettings.peerAddress())
                || !settings.directoryAddress().equals(mSettings.directoryAddress())) {
            mLog.event("settings", "restart-needed")
                    .put("reason", "an address was changed")
                    .write();
        }
        mSettings = settings;
        mGroup.next().execute(() -> mPeers.reload(settings));
    }

    /**
     * Runs a task on the event loop of the relay.
     *
     * @param task the task
     */
    public void execute(final Runnable task) {
        mGroup.next().execute(task);
    }

    /**
     * Calls a listener periodically on the event loop of the relay.
     *
     * @param name the name of the listener, used in logs
     * @param interval the time between two calls
     * @param listener the listener
     */
    public void every(
            final String name, final Duration interval, final TimerService.TimerListener listener) {
        mTimers.every(name, interval, listener);
    }

    /**
     * Returns the address at which callers connect.
     *
     * @return the bound address
     */
    public InetSocketAddress callerAddress() {
        return mCallerAddress;
    }

    /**
     * Returns the address of the readiness endpoint.
     *
     * @return the bound address
     */
    public InetSocketAddress readinessAddress() {
        return mReadinessAddress;
    }

    /**
     * Stops the relay gracefully: it stops being ready, finishes the requests in progress, closes
     * its listening socket and serves what arrived until then.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void stop() throws InterruptedException {
        mGroup.next().execute(this::beginShutdown);
        mStopped.await(graceNanos(GRACE_MARGIN_SHARE / 2), TimeUnit.NANOSECONDS);
        mGroup.next().execute(() -> mQuotaUse.write(mTime.monotonicNanos()));
        mLog.event("daemon", "stopped").put("unfinished", mService.active()).write();
        // The timer that ends the remaining requests may be late on a busy host. Closing the event
        // loop before would cut them off without a response.
        mGroup.next()
                .submit(() -> mShutdown.failRemaining())
                .await(graceNanos(1 - GRACE_MARGIN_SHARE / 4), TimeUnit.NANOSECONDS);
        close();
    }

    /** Stops the relay at once, without finishing requests in progress. */
    @Override
    public void close() {
        mTransport.close();
        mGroup.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
        mLog.close();
    }

    private void startOnEventLoop() {
        mMetrics.gauge("persimmonreel_relay_active", "Requests in progress", mService::active);
        mMetrics.gauge(
                "persimmonreel_relay_waiting",
                "Requests that wait for a replica",
                mService::waiting);
        mMetrics.gauge("persimmonreel_relay_peers", "Connected daemons", mPeers::connectedCount);
        mMetrics.gauge(
                "persimmonreel_relay_upstream_connections_opened",
                "Connections opened to replicas since the start",
                () -> mService.connections().openedCount());
        mMetrics.gauge(
                "persimmonreel_relay_config_version",
                "Version of the configuration in force",
                () -> configurationSnapshot().version());
        mMetrics.gauge(
                "persimmonreel_relay_directory_silent_seconds",
                "Time since the last response of the directory",
                () -> configurationSnapshot().directorySilentMillis() / MILLIS_PER_SECOND);
        mMetrics.gauge(
                "persimmonreel_relay_evacuated_zones",
                "Availability zones whose replicas get no requests",
                () -> mService.replicas().evacuatedZones().size());
        mMetrics.gauge(
                "persimmonreel_relay_unreachable_replicas",
                "Replicas to which this daemon could not open its last connection",
                () ->
                        mService.replicaObserver()
                                .reachability()
                                .unreachableCount(mTime.monotonicNanos()));
        mDirectoryWatch.start();
        mPeers.start(mTransport, mTimers);
        mTimers.every("relay-idle", IDLE_TICK, this::onIdleTick);
        mTimers.every("digest", DIGEST_INTERVAL, mPeers::sendDigests);
        mTimers.every("quarantine", QUARANTINE_INTERVAL, mService.quarantine()::onTimer);
        mTimers.every("quota-use", Duration.ofNanos(QuotaUseLog.INTERVAL_NANOS), mQuotaUse::write);
        mTimers.every("dial", PEER_CONNECTION_INTERVAL, now -> mPeers.updateConnections());
        mTimers.every(
                "callers",
                CALLER_CHECK_INTERVAL,
                now -> {
                    mServer.closeTimedOut(now);
                    mService.connections().closeExpired();
                });
    }

    private ConfigurationMonitor.Snapshot configurationSnapshot() {
        return mService.configurationMonitor().snapshot(mTime.monotonicNanos());
    }

    /**
     * Runs the periodic work of an idle relay. The short tick is started only while there are
     * requests, to save wake-ups.
     */
    private void onIdleTick(final long nowNanos) {
        mService.onTimer(nowNanos);
        if (!mActiveTicking && !mService.isIdle()) {
            mActiveTicking = true;
            mTimers.after("relay", ACTIVE_TICK, this::onActiveTick);
        }
    }

    private void onActiveTick(final long nowNanos) {
        // If the work fails, the idle tick starts the short tick again.
        mActiveTicking = false;
        mService.onTimer(nowNanos);
        mActiveTicking = !mService.isIdle();
        if (mActiveTicking) {
            mTimers.after("relay", ACTIVE_TICK, this::onActiveTick);
        }
    }

    private boolean isReady() {
        return !mShuttingDown && mService.isConfigured() && !mService.replicas().all().isEmpty();
    }

    private StatusServer.Response readiness() {
        return isReady()
                ? StatusServer.Response.text(HttpResponseStatus.OK, "ready\n")
                : StatusServer.Response.text(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        mShuttingDown ? "leaving\n" : "no configuration or no replicas\n");
    }

    private StatusServer.Response metrics() throws IOException {
        return new StatusServer.Response(
                HttpResponseStatus.OK, "text/plain; version=0.0.4", mMetrics.write());
    }

    private void beginShutdown() {
        if (mShuttingDown) {
            return;
        }
        mShuttingDown = true;
        final long now = mTime.monotonicNanos();
        final ShutdownTimes times =
                new ShutdownTimes(now + SHUTDOWN_LINGER.toNanos(), now + requestGraceNanos());
        mShutdown = new ShutdownSequence(times, new Shutdown());
        mLog.event("daemon", "leaving").put("active", mService.active()).write();
        mService.beginShutdown(times);
        mServer.beginShutdown();
        mPeers.beginShutdown();
        mTimers.every("leave", SHUTDOWN_CHECK_INTERVAL, mShutdown::onTimer);
    }

    /** Returns the part of the grace time in which requests may still run, in nanoseconds. */
    private long requestGraceNanos() {
        return graceNanos(GRACE_MARGIN_SHARE);
    }

    /** Returns the grace time without a share of it, in nanoseconds. */
    private long graceNanos(final double withoutShare) {
        return (long) (mSettings.grace().toNanos() * (1.0 - withoutShare));
    }
}
