package io.persimmonreel.daemon.relay;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.persimmonreel.core.admission.ShutdownTimes;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.quota.QuotaLife;
import io.persimmonreel.core.quota.QuotaTolerance;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.log.EventLog;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs the parts of a relay in virtual time, between virtual callers and replicas. */
final class VirtualRelay implements TimeSource {
    private static final long TICK_MILLIS = 40;
    private static final long CONNECTION_CHECK_MILLIS = 600;
    private static final int MAXIMUM_BODY_BYTES = 1 << 20;
    private static final int MAXIMUM_ROUNDS = 10_000;

    private static final VirtualFaults FAULTS = new VirtualFaults();
    private static final EventLog LOG =
            new EventLog("test", FAULTS, new PrintStream(OutputStream.nullOutputStream(), false));

    private final VirtualEventLoop mLoop = new VirtualEventLoop();
    private final UnpooledByteBufAllocator mAllocator = new UnpooledByteBufAllocator(false);
    private final Map<String, VirtualRequest> mRequests = new LinkedHashMap<>();
    private final List<VirtualCaller> mCallers = new ArrayList<>();
    private final List<VirtualReplicaConnection> mReplicaConnections = new ArrayList<>();
    private final Deque<Connect> mConnects = new ArrayDeque<>();
    private final Set<Replica> mReplicas = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Set<UpstreamExchange> mBeforeEvacuation =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private final VirtualReplicaScript mScript = new VirtualReplicaScript(this);
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final RelayService mService;
    private final RelayServer mServer;
    private SplittableRandom mRandom = new SplittableRandom(0);
    private long mNowMillis;
    private long mAbortMillis = Long.MAX_VALUE;

    /** Holds a connection that is being opened. */
    private record Connect(
            int port, ChannelInitializer<Channel> initializer, Consumer<Throwable> onOutcome) {}

    VirtualRelay() {
        this(HeldLimits.STANDARD);
    }

    VirtualRelay(final HeldLimits heldLimits) {
        FAULTS.disarm();
        final RelayDialect dialect = FAULTS.in(new NativeDialect());
        final ExchangeLog exchangeLog = new ExchangeLog(LOG, mMetrics);
        mService =
                new RelayService(
                        this,
                        new RelayLog(
                                LOG,
                                mMetrics,
                                exchangeLog,
                                new QuotaUseLog(LOG, mMetrics, monotonicNanos())),
                        dialect,
                        new UpstreamConnectionPool(this::connect, dialect, this, exchangeLog),
                        new RetryBudget(1.0, 50),
                        new FleetQuota(QuotaTolerance.NONE, QuotaLife.MESH),
                        mLoop,
                        Duration.ofMillis(500),
                        heldLimits,
                        1);
        mServer =
                new RelayServer(
                        dialect,
                        this,
                        LOG,
                        mService::limits,
                        mService::bufferedBytes,
                        MAXIMUM_BODY_BYTES);
    }

    /** Sets the source of the random choices of replicas. */
    void useRandom(final SplittableRandom random) {
        mRandom = random;
    }

    SplittableRandom random() {
        return mRandom;
    }

    /** Returns the metrics as a scraper reads them. */
    String metrics() throws IOException {
        return new String(mMetrics.write(), StandardCharsets.UTF_8);
    }

    RelayService service() {
        return mService;
    }

    VirtualFaults faults() {
        return FAULTS;
    }

    List<VirtualCaller> callers() {
        return mCallers;
    }

    List<VirtualReplicaConnection> replicaConnections() {
        return mReplicaConnections;
    }

    VirtualRequest request(final String id) {
        return mRequests.get(id);
    }

    VirtualRequest anyRequest() {
        return List.copyOf(mRequests.values()).get(mRandom.nextInt(mRequests.size()));
    }

    VirtualRequest newRequest(final VirtualRequest.Kind kind) {
        final String id = "a" + mRequests.size();
        final VirtualRequest request =
                new VirtualRequest(id, kind, VirtualCaller.body(id, mRandom));
        mRequests.put(id, request);
        return request;
    }

    VirtualCaller newCaller() {
        final VirtualCaller caller =
                new VirtualCaller(
                        new VirtualChannel(mLoop, mAllocator, mServer.initializer(mService)));
        mCallers.add(caller);
        return caller;
    }

    void onReplicas(final Collection<ReplicaEntry> entries) {
        mService.onReplicas(entries);
        mReplicas.addAll(mService.replicas().all());
    }

    /** Evacuates some zones and takes the others back. */
    void evacuate(final Set<String> zones) {
        mBeforeEvacuation.clear();
        mReplicaConnections.forEach(connection -> mBeforeEvacuation.add(connection.exchange()));
        mService.onEvacuatedZones(zones);
    }

    /** Returns the port of the replica to which the oldest connect goes, 0 if there is none. */
    int connectingPort() {
        return mConnects.isEmpty() ? 0 : mConnects.peek().port();
    }

    boolean isConnecting() {
        return !mConnects.isEmpty();
    }

    /** Reports the outcome of the oldest connect. */
    void endConnect(final boolean succeeds, final boolean closesAtOnce) {
        final Connect connect = mConnects.poll();
        if (connect == null) {
            return;
        }
        if (!succeeds) {
            connect.onOutcome().accept(new IOException("Connection refused"));
            return;
        }
        final VirtualChannel channel = new VirtualChannel(mLoop, mAllocator, connect.initializer());
        mReplicaConnections.add(
                new VirtualReplicaConnection(connect.port(), channel, this, mScript));
        if (closesAtOnce) {
            channel.close();
        }
        connect.onOutcome().accept(null);
    }

    void advance(final long millis) {
        for (final long end = mNowMillis + millis; mNowMillis < end; ) {
            mNowMillis = Math.min(end, (mNowMillis / TICK_MILLIS + 1) * TICK_MILLIS);
            if (mNowMillis % TICK_MILLIS == 0) {
                guarded(this::tick);
            }
            settle();
        }
    }

    void beginShutdown() {
        if (!mServer.isShuttingDown()) {
            mAbortMillis = mNowMillis + 3_000;
            mService.beginShutdown(
                    new ShutdownTimes(
                            monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(500),
                            TimeUnit.MILLISECONDS.toNanos(mAbortMillis)));
            mServer.beginShutdown();
        }
    }

    /** Runs a step whose unexpected errors end in the event loop or in its timer service. */
    void guarded(final Runnable step) {
        try {
            step.run();
        } catch (final VirtualFaults.ExpectedException | VirtualFaults.ExpectedError e) {
            // The event loop and its timer service go on.
        }
    }

    /** Runs all tasks, and lets the other sides read what was written. */
    void settle() {
        boolean worked = true;
        for (int round = 0; worked; round++) {
            if (round > MAXIMUM_ROUNDS) {
                throw new AssertionError("the relay does not come to rest");
            }
            worked = mLoop.runTasks();
            for (final VirtualReplicaConnection connection : mReplicaConnections) {
                worked |= connection.read();
            }
            for (final VirtualCaller caller : mCallers) {
                worked |= caller.read();
            }
        }
        checkOwners();
        checkEvacuations();
    }

    /** Returns whether no request has to be answered. */
    boolean isQuiet() {
        return mService.isIdle()
                && mCallers.stream().noneMatch(c -> c.isOpen() && c.unanswered() > 0);
    }

    /** Checks that nothing is left of the requests once all deadlines have passed. */
    void checkAtRest() {
        for (final VirtualCaller caller : mCallers) {
            check(
                    !caller.isOpen() || caller.unanswered() == 0,
                    "a request has no answer: " + caller);
        }
        check(mService.isIdle() && mService.active() == 0, "calls are active");
        check(mService.waiting() == 0, "calls are queued");
        check(mService.bufferedBytes() == 0, "bytes of bodies are counted");
        check(mServer.mayBuffer(MAXIMUM_BODY_BYTES), "bytes of incomplete bodies are counted");
        for (final Replica replica : mReplicas) {
            check(replica.ownInFlight() == 0, "slots of " + replica.entry().id() + " are in use");
            check(replica.ownPendingPrefill() == 0, "prefill of a replica is counted");
        }
        mCallers.forEach(VirtualCaller::close);
        mReplicaConnections.forEach(VirtualReplicaConnection::close);
        settle();
        check(mServer.connectionCount() == 0, "closed connections are counted");
        check(mAllocator.metric().usedHeapMemory() == 0, "buffers are not released");
    }

    @Override
    public long monotonicNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    @Override
    public long wallMillis() {
        return mNowMillis;
    }

    private void connect(
            final SocketAddress address,
            final ChannelInitializer<Channel> initializer,
            final Consumer<Throwable> onOutcome) {
        mConnects.add(new Connect(((InetSocketAddress) address).getPort(), initializer, onOutcome));
    }

    private void tick() {
        if (mNowMillis % CONNECTION_CHECK_MILLIS == 0) {
            guarded(() -> mServer.closeTimedOut(monotonicNanos()));
            guarded(() -> mService.connections().closeExpired());
        }
        if (mServer.isShuttingDown()) {
            guarded(mServer::closeIdle);
        }
        if (mNowMillis >= mAbortMillis) {
            guarded(mService::abortAll);
        }
        mService.onTimer(monotonicNanos());
    }

    /** Checks that each active call is queued or has a connection, open or being opened. */
    private void checkOwners() {
        final long busy =
                mReplicaConnections.stream().filter(VirtualReplicaConnection::isBusy).count();
        check(
                mService.active() <= mService.waiting() + mConnects.size() + busy,
                "a call is active without a queue or a connection");
        check(
                mReplicaConnections.stream().noneMatch(VirtualReplicaConnection::isIdleUnread),
                "an idle connection to a replica is not read");
    }

    /** Checks that no request was written to an evacuated replica since the evacuation. */
    private void checkEvacuations() {
        for (final Replica replica : mService.replicas().all()) {
            check(
                    !replica.isEvacuated()
                            || mReplicaConnections.stream()
                                    .filter(c -> c.port() == replica.entry().port())
                                    .map(VirtualReplicaConnection::exchange)
                                    .allMatch(e -> e == null || mBeforeEvacuation.contains(e)),
                    "a request was written to an evacuated replica");
        }
    }

    private static void check(final boolean holds, final String violation) {
        if (!holds) {
            throw new AssertionError(violation);
        }
    }
}
