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

/** Runs the decision library of one daemon process in virtual time, wired as in a real daemon. */
public final class VirtualDaemon {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long HOSTS_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long REPORTS_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final byte[] SECRET = "secret".getBytes(StandardCharsets.US_ASCII);

    private final VirtualFleet mFleet;
    private final int mSlot;
    private final Incarnation mSelf;
    private final TimeSource mTime;
    private final Membership mMembership;
    private final ConfigurationState mState;
    private final ConfigurationExchange mExchange;
    private final StartupReadiness mStartup;
    private final ClaimManager mClaims;
    private final OrderPlanner mOrders;
    private final Quarantine mQuarantine = new Quarantine();
    private final Set<Incarnation> mConnected = new HashSet<>();
    private final List<Long> mVersions = new ArrayList<>();
    private final Deque<Runnable> mDeferred = new ArrayDeque<>();
    private long mPolledNanos = Long.MIN_VALUE / 2;
    private long mOrderDelayNanos;
    private boolean mPaused;
    private boolean mDead;

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
        mState = new ConfigurationState(time, record -> {});
        mExchange = new ConfigurationExchange(mState, this::send, time, record -> {});
        mStartup = new StartupReadiness(time, mState);
        mClaims = new ClaimManager(self, slot, time, this::send, record -> {}, SECRET);
        mOrders = new OrderPlanner(self, time, mState, record -> {});
        mMembership.subscribe(this::onMembership);
        mState.subscribe(this::onAccepted);
    }

    static String zone(final int slot) {
        return "zone-" + slot % 3;
    }

    void start() {
        mClaims.updateLiveMembers(mMembership.live());
        repeat(TICK_NANOS, this::tick);
        repeat(FailureDetectorTimes.STANDARD.heartbeatNanos(), this::beat);
        repeat(HOSTS_NANOS, this::readHosts);
        repeat(REPORTS_NANOS, this::readReports);
    }

    private void repeat(final long nanos, final Runnable action) {
        run(
                () -> {
                    action.run();
                    mFleet.queue().after(nanos, () -> repeat(nanos, action));
                });
    }

    /** Runs an action of this process: now, when its pause ends, or never if it is dead. */
    void run(final Runnable action) {
        if (mPaused) {
            mDeferred.add(action);
        } else if (!mDead) {
            action.run();
        }
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        while (!mDeferred.isEmpty()) {
            mDeferred.poll().run();
        }
    }

    void kill() {
        mDead = true;
        mDeferred.clear();
    }

    /** Tells whether the process takes part in connections now. */
    boolean isRunning() {
        return !mDead && !mPaused;
    }

    void connect(final VirtualDaemon peer) {
        if (mConnected.add(peer.mSelf)) {
            mMembership.onConnected(peer.mSelf, peer.mSlot, zone(peer.mSlot));
            beat();
        }
    }

    void onMessage(final VirtualDaemon from, final PeerMessage message) {
        final Incarnation sender = from.mSelf;
        mMembership.onMessage(sender, message);
        mClaims.onMessage(sender, message);
        if (message instanceof Heartbeat beat) {
            final long version = beat.configVersion();
            mStartup.heardPeer(name(from.mSlot), version, beat.configDigest());
            mExchange.onHeartbeat(sender, version, beat.configDigest());
        } else if (message instanceof ConfigRequest request) {
            mExchange.onRequest(sender, request);
        } else if (message instanceof ConfigPart part) {
            mExchange.onPart(sender, part);
        } else if (message instanceof QuarantineNotice notice) {
            mQuarantine.onNotice(notice, mTime.monotonicNanos());
        }
    }

    private void send(final Incarnation to, final PeerMessage message) {
        mFleet.transmit(this, to, message);
    }

    private void tick() {
        final long now = mTime.monotonicNanos();
        mClaims.onTimer(now);
        mMembership.onTimer(now);
        mMembership.gossip(now).forEach(gossip -> send(gossip.to(), gossip.message()));
        mQuarantine.onTimer(now);
        readConfiguration(now);
    }

    private void beat() {
        final Heartbeat beat =
                mMembership.heartbeat(mState.version(), mState.digest(), List.of(), List.of());
        mMembership.peers().stream().sorted().forEach(peer -> send(peer, beat));
    }

    private void readConfiguration(final long nowNanos) {
        final boolean watches = WatcherChoice.isWatcher(mSelf, mMembership.live().keySet());
        if (mFleet.platform().isDown()) {
            mStartup.serviceFailed("connection refused");
        } else if (watches || nowNanos - mPolledNanos >= WatcherChoice.POLL_INTERVAL.toNanos()) {
            mPolledNanos = nowNanos;
            mStartup.serviceAnswered();
            mFleet.platform()
                    .read()
                    .ifPresent(text -> mState.offer("service", text.getKey(), text.getValue()));
        }
    }

    private void readHosts() {
        if (mFleet.platform().isDown()) {
            return;
        }
        final List<ListedHost> hosts = mFleet.platform().readHosts();
        hosts.stream()
                .filter(host -> host.slot() != mSlot && !host.leaving())
                .forEach(host -> mStartup.expectPeer(name(host.slot())));
        mMembership.onHosts(hosts);
        publishMembers();
    }

    private void readReports() {
        for (final VirtualEngine engine : mFleet.engines()) {
            final ReportedModel report = engine.report();
            mFleet.later(
                    () -> run(() -> mOrders.onReport(report).ifPresent(o -> order(engine, o))));
        }
    }

    private void order(final VirtualEngine engine, final EngineOrder order) {
        mFleet.queue().after(mOrderDelayNanos, () -> mFleet.later(() -> engine.take(order)));
    }

    private void onMembership(final MembershipEvent event) {
        if (event.to() == MemberState.DEAD || event.to() == MemberState.LEAVING) {
            mStartup.lostPeer(name(event.slot()));
        }
        publishMembers();
    }

    private void publishMembers() {
        mClaims.updateLiveMembers(mMembership.live());
        mOrders.updateMembers(mMembership.live().keySet(), mMembership.unconfirmedDeaths());
    }

    private void onAccepted(final Configuration configuration) {
        mVersions.add(configuration.version());
        mClaims.configure(configuration);
        beat();
    }

    /**
     * Reports that a replica crashed and tells the peers.
     *
     * @param replica the replica's id
     * @param requests the requests that this daemon ran on it
     */
    public void replicaCrashed(final String replica, final Collection<Fingerprint> requests) {
        mQuarantine
                .onCrash(replica, requests, mTime.monotonicNanos())
                .forEach(notice -> mConnected.forEach(peer -> send(peer, notice)));
    }

    /**
     * Delays the orders that are sent from now on, as a slow connection or a pause does.
     *
     * @param delay the time between decision and arrival
     */
    public void delayOrders(final Duration delay) {
        mOrderDelayNanos = delay.toNanos();
    }

    private static String name(final int slot) {
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
     * @return the clocks
     */
    public TimeSource time() {
        return mTime;
    }

    /**
     * Returns the claims.
     *
     * @return the claims
     */
    public ClaimManager claims() {
        return mClaims;
    }

    /**
     * Returns the members that this daemon knows.
     *
     * @return the membership
     */
    public Membership membership() {
        return mMembership;
    }

    /**
     * Returns the configuration.
     *
     * @return the state
     */
    public ConfigurationState state() {
        return mState;
    }

    /**
     * Returns the versions that were in force, in order.
     *
     * @return the versions
     */
    public List<Long> versions() {
        return List.copyOf(mVersions);
    }

    /**
     * Returns what the daemon waits for.
     *
     * @return the state of the start
     */
    public StartupReadiness startup() {
        return mStartup;
    }

    /**
     * Returns the orders.
     *
     * @return the planner
     */
    public OrderPlanner orders() {
        return mOrders;
    }

    /**
     * Returns the evidence against request contents.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return mQuarantine;
    }
}
