package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import io.persimmonreel.core.replica.VersionBinding;
import io.persimmonreel.core.route.ResendRule;
import io.persimmonreel.core.route.Route;
import io.persimmonreel.core.stream.CallerDeadlines;
import io.persimmonreel.core.stream.PastReplica;
import io.persimmonreel.core.stream.SoftwareVersions;
import io.persimmonreel.core.stream.StreamExchange;
import io.persimmonreel.core.stream.StreamKey;
import io.persimmonreel.core.stream.StreamRouting;
import io.persimmonreel.core.stream.StreamVersions;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.directory.DirectoryObserver;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Binds calls to the software version of their stream. A call that continues a stream is admitted
 * once its version is known, and refused if it can't be known. All methods run on the event loop.
 */
final class StreamTakeUps implements StreamExchange.Listener<RelayCall>, DirectoryObserver {
    /**
     * The Retry-After time of a daemon that can't read the directory; another may know the stream.
     */
    private static final long UNCONFIRMED_RETRY_AFTER_MILLIS = 300;

    private final TimeSource mTime;
    private final RelayLog mLog;
    private final Consumer<RelayCall> mAdmission;
    private final ReplicaRegistry mReplicas;
    private final StreamVersions mVersions = new StreamVersions();
    private final CallerDeadlines mDeadlines = new CallerDeadlines();
    private StreamExchange<RelayCall> mExchange;

    /**
     * Creates the take-ups of a daemon without peers and directory.
     *
     * @param replicas the current replicas
     * @param time the clocks
     * @param log receives the decisions
     * @param admission receives the calls that may be sent
     */
    StreamTakeUps(
            final ReplicaRegistry replicas,
            final TimeSource time,
            final RelayLog log,
            final Consumer<RelayCall> admission) {
        mReplicas = replicas;
        mTime = time;
        mLog = log;
        mAdmission = admission;
        use(new Unconnected());
    }

    /** Sets the connection to peers and to the directory. */
    void use(final StreamRouting routing) {
        mExchange = new StreamExchange<>(mVersions, routing, this);
    }

    /** Returns the software versions that the directory shows. */
    SoftwareVersions versions() {
        return mVersions.software();
    }

    /** Admits a call, now or later, or refuses it. */
    void admit(final RelayCall call) {
        final CallerHeaders headers = call.task().request().callerHeaders();
        final Route route = call.task().route();
        final long now = mTime.monotonicNanos();
        if (!isResumable(call)) {
            mAdmission.accept(call);
            return;
        }
        mDeadlines.onRequest(route.name(), headers.deadlineMillis(), now);
        if (headers.resumeAfter() == null) {
            mAdmission.accept(call);
        } else {
            final long ageMillis =
                    mDeadlines.ageMillis(
                            route.name(), route.timeoutMillis(), headers.deadlineMillis(), now);
            mExchange.begin(call, call.task().upstream(), headers.resumes(), ageMillis, now);
        }
    }

    /** Returns the replicas at which a call may run, whatever their state. */
    List<Replica> candidates(final RelayCall call) {
        final VersionBinding binding = call.versionBinding();
        final String upstream = call.task().upstream();
        final long generation = versions().generation();
        if (binding.needsAssignment(generation)
                && isResumable(call)
                && !call.task().id().isEmpty()) {
            final long stream = StreamKey.of(upstream, call.task().id());
            binding.assign(versions().assigned(upstream, stream), generation);
        }
        return mReplicas.candidates(upstream, binding);
    }

    /** Binds a call to the version of the replica that sent its first event. */
    void onFirstEvent(final RelayCall call) {
        if (!isResumable(call)) {
            return;
        }
        final String version = call.dispatch().replica().entry().version();
        if (!call.versionBinding().isBound() && !call.task().id().isEmpty()) {
            mExchange.onBegun(
                    call.task().upstream(), call.task().id(), version, mTime.monotonicNanos());
        }
        call.versionBinding().bind(version);
    }

    void onTransfer(final Incarnation from, final StreamTransfer transfer, final long nowNanos) {
        mExchange.onTransfer(from, transfer, nowNanos);
    }

    void onTimer(final long nowNanos) {
        mExchange.onTimer(nowNanos);
    }

    void flush(final long nowNanos) {
        mExchange.flush(nowNanos);
    }

    void remove(final RelayCall call) {
        mExchange.remove(call);
    }

    @Override
    public void onEntry(final ReplicaEntry entry) {
        versions().onEntry(entry);
    }

    @Override
    public void onSnapshot() {
        versions().onSnapshot(mTime.monotonicNanos(), mTime.wallMillis());
    }

    @Override
    public void onCurrent(final long nanos, final long wallMillis) {
        versions().onCurrent(nanos, wallMillis);
    }

    @Override
    public void onHistory(final Collection<PastReplica> replicas, final long sinceNanos) {
        versions().onPast(replicas, sinceNanos, mTime.monotonicNanos(), mTime.wallMillis());
    }

    @Override
    public void onVersion(final RelayCall call, final String version) {
        call.versionBinding().bind(version);
        mLog.streamContinued(call, version, mTime.monotonicNanos());
        mAdmission.accept(call);
    }

    @Override
    public void onUnknown(final RelayCall call, final boolean confirmed) {
        final long retryAfterMillis = confirmed ? 0 : UNCONFIRMED_RETRY_AFTER_MILLIS;
        mLog.streamUnknown(call, confirmed, retryAfterMillis, mTime.monotonicNanos());
        call.fail(
                HttpResponseStatus.BAD_GATEWAY,
                "the software version of the stream is not known",
                retryAfterMillis);
    }

    private static boolean isResumable(final RelayCall call) {
        return call.task().route().resendRule() == ResendRule.RESUMABLE_STREAM;
    }

    /** Reaches neither peers nor the directory. */
    private static final class Unconnected implements StreamRouting {
        @Override
        public Collection<Incarnation> holders(final long stream) {
            return List.of();
        }

        @Override
        public boolean isForwardedFor(final Incarnation peer) {
            return false;
        }

        @Override
        public void send(final Incarnation peer, final StreamTransfer transfer) {}

        @Override
        public void confirm(final LongConsumer onConfirmed) {}

        @Override
        public boolean isAnyCutOff() {
            return false;
        }

        @Override
        public void requestFlush() {}
    }
}
