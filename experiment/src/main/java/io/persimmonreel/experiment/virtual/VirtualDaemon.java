package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationExchange;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.config.StartupReadiness;
import io.persimmonreel.core.config.WatcherChoice;
import io.persimmonreel.core.membership.FailureDetectorTimes;
import io.persimmonreel.core.membership.ListedHost;
import io.persimmonreel.core.membership.MemberState;
import io.persimmonreel.core.membership.Membership;
import io.persimmonreel.core.membership.MembershipEvent;
import io.persimmonreel.core.order.EngineOrder;
import io.persimmonreel.core.order.OrderPlanner;
import io.persimmonreel.core.order.ReportedModel;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import io.persimmonreel.core.peer.PeerMessage.ConfigRequest;
import io.persimmonreel.core.peer.PeerMessage.Heartbeat;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.quarantine.Fingerprint;
import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.core.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs the decision library of one daemon process in virtual time. Its components are connected as
 * in a real daemon.
 */
public final class VirtualDaemon {
    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long HOST_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final byte[] FLEET_SECRET = "secret".getBytes(StandardCharsets.US_ASCII);

    private final VirtualFleet mFleet;
    private final int mSlot;
    private final Incarnation mSelf;
    private final TimeSource mTime;
    private final Membership mMembership;
    private final ConfigurationState mConfigurationState;
    private final ConfigurationExchange mConfigurationExchange;
    private final StartupReadiness mStartup;
    private final ClaimManager mClaims;
    private final OrderPlanner mOrderPlanner;
    private final Quarantine mQuarantine = new Quarantine();
    private final Set<Incarnation> mConnected = new HashSet<>();
    private final List<Long> mAcceptedVersions = new ArrayList<>();
    private final Deque<Runnable> mDeferredActions = new ArrayDeque<>();
    private long mLastPollNanos = Long.MIN_VALUE / 2;
    private long mOrderDelayNanos;
    private boolean mPaused;
    private boolean mEnded;

    VirtualDaemon(
            final VirtualFleet fleet,
            final int slot,
            final Incarnation self,
            final TimeSource time,
            final long seed) {
        mFleet = fleet;
        mSlot = slot;
        mSelf = self;
        mTime = time;
        mMembership = new Membership(self, slot, zone(slot), time, new Random(seed));
        mConfigurationState = new ConfigurationState(time, record -> {});
        mConfigurationExchange =
                new ConfigurationExchange(mConfigurationState, this::send, time, record -> {});
        mStartup = new StartupReadiness(time, mConfigurationState);
        mClaims = new ClaimManager(self, slot, time, this::send, record -> {}, FLEET_SECRET);
        mOrderPlanner = new OrderPlanner(self, time, mConfigurationState, record -> {});
        mMembership.subscribe(this::onMembership);
        mConfigurationState.subscribe(this::onAccepted);
    }

    static String zone(final int slot) {
        return "zone-" + slot % 3;
    }

    void start() {
        mClaims.updateLiveMembers(mMembership.live());
        repeat(TICK_INTERVAL_NANOS, this::onTick);
        repeat(FailureDetectorTimes.STANDARD.heartbeatIntervalNanos(), this::sendHeartbeats);
        repeat(HOST_LIST_INTERVAL_NANOS, this::readHosts);
        repeat(REPORT_INTERVAL_NANOS, this::readEngineReports);
    }

    private void repeat(final long nanos, final Runnable action) {
        runOrDefer(
                () -> {
                    action.run();
                    mFleet.queue().scheduleAfter(nanos, () -> repeat(nanos, action));
                });
    }

    /** Runs an action of this process: now, after its pause, or never if the process has ended. */
    void runOrDefer(final Runnable action) {
        if (mPaused) {
            mDeferredActions.add(action);
        } else if (!mEnded) {
            action.run();
        }
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        while (!mDeferredActions.isEmpty()) {
            mDeferredActions.poll().run();
        }
    }

    void kill() {
        mEnded = true;
        mDeferredActions.clear();
    }

    /** Returns whether the process can open and accept connections now. */
    boolean isRunning() {
        return !mEnded && !mPaused;
    }

    void connect(final VirtualDaemon peer) {
        if (mConnected.add(peer.mSelf)) {
            mMembership.onConnected(peer.mSelf, peer.mSlot, zone(peer.mSlot));
            sendHeartbeats();
        }
    }

    void onMessage(final VirtualDaemon from, final PeerMessage message) {
        final Incarnation sender = from.mSelf;
        mMembership.onMessage(sender, message);
        mClaims.onMessage(sender, message);
        if (message instanceof Heartbeat heartbeat) {
            final long version = heartbeat.configVersion();
            mStartup.heardPeer(peerName(from.mSlot), version, heartbeat.configDigest());
            mConfigurationExchange.onHeartbeat(sender, version, heartbeat.configDigest());
        } else if (message instanceof ConfigRequest request) {
            mConfigurationExchange.onRequest(sender, request);
        } else if (message instanceof ConfigPart part) {
            mConfigurationExchange.onPart(sender, part);
        } else if (message instanceof QuarantineNotice notice) {
            mQuarantine.onNotice(notice, mTime.monotonicNanos());
        }
    }

    private void send(final Incarnation to, final PeerMessage message) {
        mFleet.transmit(this, to, message);
    }

    private void onTick() {
        final long now = mTime.monotonicNanos();
        mClaims.onTimer(now);
        mMembership.onTimer(now);
        mMembership.gossip(now).forEach(gossip -> send(gossip.to(), gossip.message()));
        mQuarantine.onTimer(now);
        readConfiguration(now);
    }

    private void sendHeartbeats() {
        final Heartbeat heartbeat =
                mMembership.heartbeat(
                        mConfigurationState.version(),
                        mConfigurationState.digest(),
                        List.of(),
                        List.of());
        mMembership.peers().stream().sorted().forEach(peer -> send(peer, heartbeat));
    }

    private void readConfiguration(final long nowNanos) {
        final boolean watcher = WatcherChoice.isWatcher(mSelf, mMembership.live().keySet());
        if (mFleet.platform().isDown()) {
            mStartup.serviceFailed("connection refused");
        } else if (watcher || nowNanos - mLastPollNanos >= WatcherChoice.POLL_INTERVAL.toNanos()) {
            mLastPollNanos = nowNanos;
            mStartup.serviceAnswered();
            mFleet.platform()
                    .readConfiguration()
                    .ifPresent(
                            text ->
                                    mConfigurationState.offer(
                                            "service", text.getKey(), text.getValue()));
        }
    }

    private void readHosts() {
        if (mFleet.platform().isDown()) {
            return;
        }
        final List<ListedHost> hosts = mFleet.platform().readHosts();
        hosts.stream()
                .filter(host -> host.slot() != mSlot && !host.leaving())
                .forEach(host -> mStartup.expectPeer(peerName(host.slot())));
        mMembership.onHosts(hosts);
        publishMembers();
    }

    private void readEngineReports() {
        for (final VirtualEngine engine : mFleet.engines()) {
            final ReportedModel report = engine.report();
            mFleet.afterNetworkDelay(
                    () ->
                            runOrDefer(
                                    () ->
                                            mOrderPlanner
                                                    .onReport(report)
                                                    .ifPresent(order -> sendOrder(engine, order))));
        }
    }

    private void sendOrder(final VirtualEngine engine, final EngineOrder order) {
        mFleet.queue()
                .scheduleAfter(
                        mOrderDelayNanos,
                        () -> mFleet.afterNetworkDelay(() -> engine.onOrder(order)));
    }

    private void onMembership(final MembershipEvent event) {
        if (event.to() == MemberState.DEAD || event.to() == MemberState.LEAVING) {
            mStartup.lostPeer(peerName(event.slot()));
        }
        publishMembers();
    }

    private void publishMembers() {
        mClaims.updateLiveMembers(mMembership.live());
        mOrderPlanner.updateMembers(mMembership.live().keySet(), mMembership.unconfirmedDeaths());
    }

    private void onAccepted(final Configuration configuration) {
        mAcceptedVersions.add(configuration.version());
        mClaims.configure(configuration);
        sendHeartbeats();
    }

    /**
     * Handles the crash of a replica and sends notices of it to the peers.
     *
     * @param replica the replica's id
     * @param requests the fingerprints of the requests that this daemon ran on it
     */
    public void reportReplicaCrash(final String replica, final Collection<Fingerprint> requests) {
        mQuarantine
                .onCrash(replica, requests, mTime.monotonicNanos())
                .forEach(notice -> mConnected.forEach(peer -> send(peer, notice)));
    }

    /**
     * Delays the orders sent from now on, as a slow connection or a pause of the process does.
     *
     * @param delay the time added between the decision and the arrival of an order
     */
    public void delayOrders(final Duration delay) {
        mOrderDelayNanos = delay.toNanos();
    }

    private static String peerName(final int slot) {
        return "slot " + slot;
    }

    /**
     * Returns the identity of this process.
     *
     * @return the incarnation
     */
    public Incarnation self() {
        return mSelf;
    }

    int slot() {
        return mSlot;
    }

    /**
     * Returns the clocks of the host.
     *
     * @return the time source
     */
    public TimeSource time() {
        return mTime;
    }

    /**
     * Returns the claim manager.
     *
     * @return the claim manager
     */
    public ClaimManager claims() {
        return mClaims;
    }

    /**
     * Returns the members as this daemon sees them.
     *
     * @return the membership
     */
    public Membership membership() {
        return mMembership;
    }

    /**
     * Returns the state of the configuration.
     *
     * @return the state
     */
    public ConfigurationState configurationState() {
        return mConfigurationState;
    }

    /**
     * Returns all configuration versions that this daemon accepted, in order.
     *
     * @return the versions
     */
    public List<Long> acceptedVersions() {
        return List.copyOf(mAcceptedVersions);
    }

    /**
     * Returns the state of the startup, which includes what the daemon waits for.
     *
     * @return the state
     */
    public StartupReadiness startup() {
        return mStartup;
    }

    /**
     * Returns the planner of orders to engines.
     *
     * @return the planner
     */
    public OrderPlanner orderPlanner() {
        return mOrderPlanner;
    }

    /**
     * Returns the quarantine of request contents.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return mQuarantine;
    }
}
