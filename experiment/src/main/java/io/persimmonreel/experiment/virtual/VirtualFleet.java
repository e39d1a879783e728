package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.membership.ListedHost;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Runs the decision library of a fleet in virtual time. The network can delay and lose messages and
 * can be partitioned; daemons can be killed, restarted and paused. Equal seeds give equal runs. Not
 * thread safe.
 */
public final class VirtualFleet {
    private static final long MINIMUM_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final int DELAY_SPREAD_NANOS = 1_500_000;
    private static final long CONNECT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventQueue mQueue = new EventQueue();
    private final VirtualPlatform mPlatform = new VirtualPlatform(mQueue);
    private final Map<Integer, VirtualDaemon> mDaemons = new TreeMap<>();
    private final Map<Integer, VirtualClock> mClocks = new HashMap<>();
    private final Map<Integer, Boolean> mLeavingByListedSlot = new TreeMap<>();
    private final Map<String, VirtualEngine> mEngines = new TreeMap<>();
    private final List<VirtualRequest> mRequests = new ArrayList<>();
    private final List<VirtualRequest> mRuns = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final Map<List<Incarnation>, Long> mLastArrivalNanos = new HashMap<>();
    private final Random mRandom;
    private Set<Integer> mPartitionSide = Set.of();
    private double mLossShare;

    /**
     * Creates a fleet without daemons.
     *
     * @param seed the seed of delays, losses and incarnations
     */
    public VirtualFleet(final long seed) {
        mRandom = new Random(seed);
        mQueue.scheduleAfter(CONNECT_INTERVAL_NANOS, this::connectDaemons);
    }

    /**
     * Starts a daemon process in a slot and lists its host as live. Kills the process that runs in
     * the slot, if any.
     *
     * @param slot the slot
     */
    public void start(final int slot) {
        kill(slot);
        final VirtualDaemon daemon =
                new VirtualDaemon(
                        this,
                        slot,
                        new Incarnation(mRandom.nextLong()),
                        mClocks.computeIfAbsent(slot, s -> new VirtualClock(mQueue)),
                        mRandom.nextLong());
        mDaemons.put(slot, daemon);
        listHost(slot, false);
        daemon.start();
    }

    /**
     * Kills the process of a slot. The host list still shows its host.
     *
     * @param slot the slot
     */
    public void kill(final int slot) {
        if (mDaemons.containsKey(slot)) {
            mDaemons.remove(slot).kill();
        }
    }

    /**
     * Adds a host to the host list or changes its state there.
     *
     * @param slot the slot
     * @param leaving whether its host is leaving
     */
    public void listHost(final int slot, final boolean leaving) {
        mLeavingByListedSlot.put(slot, leaving);
        publishHosts();
    }

    /**
     * Removes a host from the host list.
     *
     * @param slot the slot
     */
    public void unlistHost(final int slot) {
        mLeavingByListedSlot.remove(slot);
        publishHosts();
    }

    private void publishHosts() {
        final List<ListedHost> hosts = new ArrayList<>();
        mLeavingByListedSlot.forEach((slot, leaving) -> hosts.add(host(slot, leaving)));
        mPlatform.publishHosts(hosts);
    }

    private static ListedHost host(final int slot, final boolean leaving) {
        return new ListedHost(slot, VirtualDaemon.zone(slot), leaving);
    }

    /**
     * Pauses a process. Messages to it wait until it resumes.
     *
     * @param slot the slot
     */
    public void pause(final int slot) {
        mDaemons.get(slot).pause();
    }

    /**
     * Resumes a paused process.
     *
     * @param slot the slot
     */
    public void resume(final int slot) {
        mDaemons.get(slot).resume();
    }

    /**
     * Makes the wall clock of a host jump.
     *
     * @param slot the slot
     * @param amount the change, forwards if positive
     */
    public void jumpWallClock(final int slot, final Duration amount) {
        mClocks.get(slot).jumpWallClock(amount.toMillis());
    }

    /**
     * Partitions the network between some daemons and all others.
     *
     * @param side the slots of one side; none heals the partition
     */
    public void partition(final Set<Integer> side) {
        mPartitionSide = Set.copyOf(side);
    }

    /**
     * Sets the share of messages that are lost.
     *
     * @param share the share, from 0 to 1
     */
    public void setMessageLoss(final double share) {
        mLossShare = share;
    }

    /**
     * Runs all events of a span of virtual time.
     *
     * @param time the span
     */
    public void runFor(final Duration time) {
        mQueue.runUntil(mQueue.nowNanos() + time.toNanos());
    }

    /**
     * Sends a request to a daemon.
     *
     * @param slot the daemon's slot
     * @param plan the request
     * @return the request, which records its answer
     */
    public VirtualRequest send(final int slot, final VirtualRequest.Plan plan) {
        final VirtualDaemon daemon = mDaemons.get(slot);
        final VirtualRequest request = new VirtualRequest(this, daemon, plan);
        mRequests.add(request);
        daemon.runOrDefer(request::begin);
        return request;
    }

    /**
     * Adds an engine that receives orders.
     *
     * @param replica the replica's id
     * @param checksFence whether it refuses orders with a lower fencing number than an earlier one
     */
    public void addEngine(final String replica, final boolean checksFence) {
        mEngines.put(replica, new VirtualEngine(mQueue, replica, checksFence));
    }

    /**
     * Compares what callers were told with what ran.
     *
     * @return the contradictions and double runs, one sentence each
     */
    public List<String> violations() {
        final List<String> violations = new ArrayList<>(mViolations);
        for (final VirtualRequest run : mRuns) {
            final String key = run.identity().key();
            if (countRuns(key) > 1) {
                violations.add("key " + key + " ran " + countRuns(key) + " times");
            }
            mRequests.stream()
                    .filter(r -> r.identity().equals(run.identity()) && r.excludesRunOf(run))
                    .forEach(
                            r -> violations.add("key " + key + " ran but was reported as not run"));
        }
        mRequests.stream()
                .filter(r -> r.outcome().equals(Optional.of(Outcome.RAN)))
                .filter(r -> countRuns(r.identity().key()) == 0)
                .forEach(r -> violations.add(r.identity().key() + " was answered but never ran"));
        return violations;
    }

    /**
     * Counts the runs of a key.
     *
     * @param key the idempotency key
     * @return how often an upstream ran the request with this key
     */
    public int countRuns(final String key) {
        return (int) mRuns.stream().filter(r -> r.identity().key().equals(key)).count();
    }

    void recordRun(final VirtualRequest request) {
        mRuns.add(request);
    }

    void addViolation(final String violation) {
        mViolations.add(violation);
    }

    void transmit(final VirtualDaemon from, final Incarnation to, final PeerMessage message) {
        if (mRandom.nextDouble() < mLossShare) {
            return;
        }
        // Messages of one connection arrive in the order in which they were sent.
        final List<Incarnation> link = List.of(from.self(), to);
        final long nanos = Math.max(mLastArrivalNanos.getOrDefault(link, 0L), arrivalNanos());
        mLastArrivalNanos.put(link, nanos);
        mQueue.scheduleAt(
                nanos,
                () ->
                        mDaemons.values().stream()
                                .filter(peer -> peer.self().equals(to) && isLinked(from, peer))
                                .findFirst()
                                .ifPresent(
                                        peer ->
                                                peer.runOrDefer(
                                                        () -> peer.onMessage(from, message))));
    }

    /** Runs an action after the delay of one message. */
    void afterNetworkDelay(final Runnable action) {
        mQueue.scheduleAt(arrivalNanos(), action);
    }

    private long arrivalNanos() {
        return mQueue.nowNanos() + MINIMUM_DELAY_NANOS + mRandom.nextInt(DELAY_SPREAD_NANOS);
    }

    private boolean isLinked(final VirtualDaemon a, final VirtualDaemon b) {
        return mPartitionSide.contains(a.slot()) == mPartitionSide.contains(b.slot());
    }

    private void connectDaemons() {
        for (final VirtualDaemon a : List.copyOf(mDaemons.values())) {
            for (final VirtualDaemon b : List.copyOf(mDaemons.values())) {
                if (a != b && a.isRunning() && b.isRunning() && isLinked(a, b)) {
                    a.connect(b);
                }
            }
        }
        mQueue.scheduleAfter(CONNECT_INTERVAL_NANOS, this::connectDaemons);
    }

    /**
     * Returns the daemon in a slot.
     *
     * @param slot the slot
     * @return the daemon, or null if none was started or it was killed
     */
    public VirtualDaemon daemon(final int slot) {
        return mDaemons.get(slot);
    }

    /**
     * Returns the daemons that were not killed, paused ones included.
     *
     * @return the daemons, in order of their slots
     */
    public Collection<VirtualDaemon> daemons() {
        return List.copyOf(mDaemons.values());
    }

    /**
     * Returns the platform.
     *
     * @return the platform
     */
    public VirtualPlatform platform() {
        return mPlatform;
    }

    /**
     * Returns the engines.
     *
     * @return the engines, in order of their ids
     */
    public List<VirtualEngine> engines() {
        return List.copyOf(mEngines.values());
    }

    /**
     * Returns the event queue, which has the virtual time.
     *
     * @return the queue of events
     */
    public EventQueue queue() {
        return mQueue;
    }
}
