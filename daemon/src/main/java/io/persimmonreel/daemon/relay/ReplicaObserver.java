package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaRegistry;
import io.persimmonreel.core.replica.UpstreamReachability;
import io.persimmonreel.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;

/** Learns the state of replicas from the exchanges with them. Not thread safe. */
final class ReplicaObserver {
    /**
     * Part of the reason with which a connection fails that nothing accepts. A connection that is
     * reset shows no crash: replicas reset those beyond their maximum, and lose single responses.
     */
    private static final String REFUSED = "refused";

    /** The fewest exchanges that break at once from which on a replica counts as cold. */
    private static final int MINIMUM_BROKEN = 2;

    private final TimeSource mTime;
    private final RelayLog mLog;
    private final ActiveCalls mCalls;
    private final ContentQuarantine mQuarantine;
    private final ReplicaRateLimits mRateLimits;
    private final long mLastResortNanos;
    private final ReplicaCrashDetector<BrokenExchange> mCrashDetector;
    private final ReplicaRegistry mReplicas;
    private final UpstreamReachability mReachability;
    private SlotGate mSlotGate = SlotGate.NONE;

    ReplicaObserver(
            final TimeSource time,
            final RelayLog log,
            final ActiveCalls calls,
            final ContentQuarantine quarantine,
            final ReplicaRateLimits rateLimits,
            final ReplicaRegistry replicas,
            final UpstreamConnectionPool connections,
            final Duration lastResort) {
        mTime = time;
        mLog = log;
        mCalls = calls;
        mQuarantine = quarantine;
        mRateLimits = rateLimits;
        mLastResortNanos = lastResort.toNanos();
        mReplicas = replicas;
        mReachability = new UpstreamReachability(replicas, log.reachability());
        mCrashDetector = new ReplicaCrashDetector<>(connections::hasOpenIdle);
    }

    /** Returns whether the request of a call may be written to a connection to its replica. */
    boolean mayWrite(final RelayCall call) {
        final boolean isAdmitted =
                mReplicas
                        .find(call.replica().entry().id())
                        .map(replica -> call.versionBinding().admits(replica.entry()))
                        .orElse(true);
        return isAdmitted
                && mRateLimits.coldReplicas().tryWrite(call.dispatch(), mTime.monotonicNanos());
    }

    UpstreamReachability reachability() {
        return mReachability;
    }

    /** Returns the reason for a refusal, which is another one if the replicas are unreachable. */
    String refusalReason(final RelayCall call, final String ifReachable) {
        return mReachability.isLost(call.task().upstream())
                ? "most replicas are unreachable from this daemon"
                : ifReachable;
    }

    void use(final SlotGate gate) {
        mSlotGate = gate;
    }

    /** Applies what a replica says of itself in a response. */
    void onHeaders(
            final RelayCall call, final HttpResponseStatus status, final ReplicaHeaders headers) {
        final long now = mTime.monotonicNanos();
        final Replica replica = call.replica();
        if (headers.load() >= 0) {
            replica.onStatedLoad(headers.load(), now);
            mSlotGate.onStatedLoad(replica, headers.load(), now);
        }
        mRateLimits.onResponse(call.dispatch(), headers.rateLimit(), now);
        mRateLimits.coldReplicas().onResponse(call.dispatch(), now);
        if (headers.leaving() && replica.availability().onLeaving(mLastResortNanos, now)) {
            mLog.leaving(call);
        }
        if (status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && replica.availability().onPushBack(headers.retryAfterNanos(), now)) {
            mLog.pushedBack(call, now);
        }
    }

    void onUnreachable(final RelayCall call, final String reason) {
        final long now = mTime.monotonicNanos();
        mReachability.onUnreachable();
        if (call.replica().health().onUnreachable(now)) {
            mLog.avoided(call.replica(), "unreachable: " + reason);
        }
        // A connection that times out may show a fault of the network only.
        if (reason.contains(REFUSED)) {
            mRateLimits.coldReplicas().onCrash(call.replica(), now, now);
        }
    }

    void onExchangeFailed(final RelayCall call, final String reason) {
        final long now = mTime.monotonicNanos();
        if (call.replica().health().onFailure(now)) {
            mLog.avoided(call.replica(), reason);
        }
        mCrashDetector.onBroken(call.replica(), ContentQuarantine.brokenExchange(call), now);
    }

    void onError(final RelayCall call, final HttpResponseStatus status) {
        // A replica that says for how long it wants no requests is not faulty.
        if (!call.replica().availability().isPushedBack(mTime.monotonicNanos())
                && call.replica().health().onErrorResponse(mTime.monotonicNanos())) {
            mLog.avoided(call.replica(), "answers " + status.code());
        }
    }

    void onRefused(final RelayCall call, final HttpResponseStatus status) {
        final long now = mTime.monotonicNanos();
        if (ReplicaResponses.isMisdirected(status)) {
            call.replica().health().onMisdirected(now);
            mLog.avoided(call.replica(), "another replica now uses its address");
        } else if (call.replica().load(now) < call.replica().entry().slots()) {
            // A replica that refuses a request although it has free slots counts as faulty.
            onError(call, status);
        }
    }

    /** Looks for unreachable upstreams, and for replicas all of whose exchanges broke at once. */
    void onTimer(final long nowNanos) {
        mReachability.onTimer(nowNanos);
        mCrashDetector.onTimer(mCalls::hasOlderAt, nowNanos, this::onCrash);
    }

    private void onCrash(
            final Replica replica,
            final Collection<BrokenExchange> exchanges,
            final long crashNanos) {
        mLog.crashed(replica, exchanges.size());
        if (exchanges.size() >= MINIMUM_BROKEN) {
            mRateLimits.coldReplicas().onCrash(replica, crashNanos, mTime.monotonicNanos());
        }
        mQuarantine.onCrash(replica, exchanges, mCalls.all(), crashNanos, mTime.monotonicNanos());
    }
}
