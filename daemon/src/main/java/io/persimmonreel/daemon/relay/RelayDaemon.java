package io.persimmonreel.daemon.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.DaemonException;
import io.persimmonreel.daemon.directory.DirectoryFormat;
import io.persimmonreel.daemon.directory.DirectorySource;
import io.persimmonreel.daemon.directory.DirectoryState;
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
 * Runs one relay: entry for callers, connections to replicas and peers, and the directory.
 *
 * <p>All parts share one event loop, so that a request wakes one thread. A relay keeps nothing
 * beyond its process.
 */
public final class RelayDaemon implements AutoCloseable {
    /** All daemons of one installation share a secret, which keeps installations apart. */
    private static final String FLEET = "persimmonreel-relay";

    /** Bounds how late a deadline, a stall or a free replica is noticed. */
    private static final Duration TICK = Duration.ofMillis(40);

    /** An idle relay wakes up at this interval; the other intervals are multiples of it. */
    private static final Duration IDLE_TICK = Duration.ofMillis(200);

    private static final Duration DIGEST_INTERVAL = IDLE_TICK;
    private static final Duration DIAL_INTERVAL = IDLE_TICK.multipliedBy(3);
    private static final Duration CHECK_INTERVAL = IDLE_TICK.multipliedBy(3);
    private static final Duration QUARANTINE_INTERVAL = Duration.ofSeconds(30);

    /** Digests come every 200 ms; a connection without any for this time is dead. */
    private static final Duration PEER_IDLE = Duration.ofMillis(2_000);

    /** Load balancers stop sending connections within this time after the daemon is not ready. */
    private static final Duration LINGER = Duration.ofMillis(2_500);

    /**
     * The last part of the grace time is left to the end of the process, since an exit takes up to
     * a second on a host with a third of a core. Callers are told to expect cuts in the last sixth.
     */
    private static final double GRACE_MARGIN_SHARE = 0.15;

    private static final Duration LEAVE_CHECK = Duration.ofMillis(100);

    private volatile RelaySettings mSettings;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final NioEventLoopGroup mGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true));
    private final TimerService mTimers;
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final RelayService mService;
    private final RelayListener mListener;
    private final DirectoryState mDirectory;
    private final DirectoryWatch mWatch;
    private final Neighbours mNeighbours;
    private final PeerTransport mTransport;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private volatile boolean mLeaving;
    private boolean mTicking;
    private long mLeavingNanos;
    private InetSocketAddress mCallerAddress;
    private InetSocketAddress mReadinessAddress;

    /** Creates the source of the directory on the event loop of a relay. */
    @FunctionalInterface
    public interface SourceFactory {
        /**
         * Creates a source.
         *
         * @param loop the event loop on which results are reported
         * @param address the address of the directory
         * @return the source
         */
        DirectorySource create(EventLoop loop, InetSocketAddress address);
    }

    /**
     * Creates a relay.
     *
     * @param settings the settings
     * @param secret the secret that all daemons share
     * @param dialect translates header fields
     * @param format decodes the documents of the directory
     * @param sources creates the source of the directory
     * @param time the clocks
     * @param log receives decisions
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
        mTimers = new ScheduledTimerService(time, mGroup.next());
        final SecureRandom random = new SecureRandom();
        final long seed = random.nextLong();
        final RetryBudget budget = new RetryBudget(settings.retryRatio(), settings.retrySlack());
        mService =
                new RelayService(
                        time,
                        new RelayLog(log, mMetrics),
                        dialect,
                        new UpstreamConnections(mGroup.next(), dialect, time),
                        budget,
                        new FleetQuota(settings.quotaTolerance()),
                        seed);
        mListener = new RelayListener(dialect, time, log, mService::limits, mService::heldBytes);
        mDirectory = new DirectoryState(format, mService, log);
        mWatch =
                new DirectoryWatch(
                        sources.create(mGroup.next(), settings.directoryAddress()),
                        mDirectory,
                        mTimers,
                        time,
                        settings.drain(),
                        log,
                        seed + 3);
        mNeighbours = new Neighbours(settings, mService, mDirectory, mWatch, budget, time, log);
        final PeerIdentity self =
                new PeerIdentity(new Incarnation(random.nextLong()), 1, settings.zone());
        mTransport =
                new PeerTransport(self, FLEET, secret.accepted(), mNeighbours, mGroup, PEER_IDLE);
        mService.suspects().onNotices(mNeighbours::broadcast);
    }

    /**
     * Starts the relay. It is ready once a configuration is known.
     *
     * @throws DaemonException if an address can't be bound
     */
    public void start() throws DaemonException {
        try {
            mCallerAddress = mListener.bind(mGroup, mSettings.callerAddress(), mService);
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
        mGroup.next().execute(this::startParts);
        mLog.event("daemon", "started")
                .put("zone", mSettings.zone())
                .put("callers", mCallerAddress.toString())
                .put("peers", mSettings.peerAddress().toString())
                .put("directory", mSettings.directoryAddress().toString())
                .put("seeds", mSettings.seeds().size())
                .write();
    }

    /**
     * Takes changed settings. Addresses and the zone hold until the next start.
     *
     * @param settings the settings
     */
    public void reload(final RelaySettings settings) {
        if (!settings.callerAddress().equals(mSettings.callerAddress())
                || !settings.peerAddress().equals(mSettings.peerAddress())
                || !settings.directoryAddress().equals(mSettings.directoryAddress())) {
            mLog.event("settings", "restart-needed").put("reason", "an address changed").write();
        }
        mSettings = settings;
        mGroup.next().execute(() -> mNeighbours.reload(settings));
    }

    /**
     * Runs a task on the threads of the relay.
     *
     * @param task the task
     */
    public void execute(final Runnable task) {
        mGroup.next().execute(task);
    }

    /**
     * Calls a listener from time to time on the threads of the relay.
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
     * Returns the address for callers.
     *
     * @return the bound address
     */
    public InetSocketAddress callerAddress() {
        return mCallerAddress;
    }

    /**
     * Returns the address at which readiness is asked.
     *
     * @return the bound address
     */
    public InetSocketAddress readinessAddress() {
        return mReadinessAddress;
    }

    /**
     * Stops the relay: it is no longer ready, requests in progress end, and connections close.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void stop() throws InterruptedException {
        mGroup.next().execute(this::leave);
        mStopped.await(mSettings.grace().toMillis(), TimeUnit.MILLISECONDS);
        mLog.event("daemon", "stopped").put("unfinished", mService.active()).write();
        close();
    }

    /** Ends the relay at once, as a crash of its process would. */
    @Override
    public void close() {
        mTransport.close();
        mGroup.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
        mLog.close();
    }

    private void startParts() {
        mMetrics.gauge("persimmonreel_relay_active", "Requests in progress", mService::active);
        mMetrics.gauge(
                "persimmonreel_relay_waiting",
                "Requests that wait for a replica",
                mService::waiting);
        mMetrics.gauge("persimmonreel_relay_peers", "Connected daemons", mNeighbours::connected);
        mMetrics.gauge(
                "persimmonreel_relay_upstream_connections_opened",
                "Connections opened to replicas since the start",
                () -> mService.connections().opened());
        mWatch.start();
        mNeighbours.start(mTransport);
        mTimers.every("relay-idle", IDLE_TICK, this::onIdleTick);
        mTimers.every("digest", DIGEST_INTERVAL, mNeighbours::sendDigests);
        mTimers.every("quarantine", QUARANTINE_INTERVAL, mService.suspects()::onTimer);
        mTimers.every("dial", DIAL_INTERVAL, now -> mNeighbours.maintain());
        mTimers.every(
                "callers",
                CHECK_INTERVAL,
                now -> {
                    mListener.check(now);
                    mService.connections().closeIdle();
                });
    }

    /** Each wake-up costs, so that the short tick runs only while there are requests. */
    private void onIdleTick(final long nowNanos) {
        mService.onTimer(nowNanos);
        if (!mTicking && !mService.isIdle()) {
            mTicking = true;
            mTimers.after("relay", TICK, this::onTick);
        }
    }

    private void onTick(final long nowNanos) {
        mService.onTimer(nowNanos);
        mTicking = !mService.isIdle();
        if (mTicking) {
            mTimers.after("relay", TICK, this::onTick);
        }
    }

    private boolean isReady() {
        return !mLeaving && mService.isConfigured() && !mService.replicas().all().isEmpty();
    }

    private StatusServer.Answer readiness() {
        return isReady()
                ? StatusServer.Answer.text(HttpResponseStatus.OK, "ready\n")
                : StatusServer.Answer.text(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        mLeaving ? "leaving\n" : "no configuration or no replicas\n");
    }

    private StatusServer.Answer metrics() throws IOException {
        return new StatusServer.Answer(
                HttpResponseStatus.OK, "text/plain; version=0.0.4", mMetrics.write());
    }

    private void leave() {
        if (mLeaving) {
            return;
        }
        mLeaving = true;
        mLeavingNanos = mTime.monotonicNanos();
        mLog.event("daemon", "leaving").put("active", mService.active()).write();
        mService.leave(mLeavingNanos + workNanos());
        mListener.leave();
        mNeighbours.leave();
        mTimers.every("leave", LEAVE_CHECK, this::checkLeft);
    }

    /** Returns the part of the grace time in which requests may go on. */
    private long workNanos() {
        return (long) (mSettings.grace().toNanos() * (1.0 - GRACE_MARGIN_SHARE));
    }

    private void checkLeft(final long nowNanos) {
        final long since = nowNanos - mLeavingNanos;
        if (since >= LINGER.toNanos()) {
            mListener.closeIdle();
            if (mService.active() == 0 && mListener.connections() == 0) {
                mStopped.countDown();
            }
        }
        if (since >= workNanos()) {
            mService.abortAll();
            mStopped.countDown();
        }
    }
}
