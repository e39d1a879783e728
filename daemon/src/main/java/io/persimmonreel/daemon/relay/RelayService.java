package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaSet;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.route.EngineProfile;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.directory.DirectoryListener;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Follows each relayed request from its acceptance to its end and decides whether it is sent again.
 * All methods run on the event loop.
 */
final class RelayService implements CallerEvents, DirectoryListener {
    /** Attempts end this long before their deadline, so that the answer still arrives. */
    private static final double DEADLINE_MARGIN_MILLIS = 50;

    /** Callers that come too early for a configuration return after this time. */
    private static final long NO_CONFIGURATION_RETURN_MILLIS = 300;

    /** Callers of content that crashes replicas are told to stay away for this time. */
    private static final long QUARANTINE_RETURN_MILLIS = 10_000;

    /** Prompts of this size show the speed of reading; shorter ones show the fixed cost. */
    private static final int LONG_PROMPT_TOKENS = 1_500;

    /** A resend with less time left than this can't be answered in time. */
    private static final double LEAST_RESEND_MILLIS = 60;

    private final TimeSource mTime;
    private final RelayLog mLog;
    private final RelayDialect mDialect;
    private final UpstreamRequests mRequests;
    private final UpstreamConnections mConnections;
    private final ReplicaSet mReplicas = new ReplicaSet();
    private final StallRule mStalls = new StallRule();
    private final FleetQuota mQuota;
    private final RetryBudget mBudget;
    private final CrashWatch<RelayCall> mCrashes;
    private final CrashSuspects mSuspects = new CrashSuspects();
    private final OutputLengths mLengths = new OutputLengths();
    private final RelayScheduler mScheduler;
    private final Set<RelayCall> mActive = new LinkedHashSet<>();
    private final EarlyCallers mEarly = new EarlyCallers();
    private Map<String, Long> mEarlyLevels = Map.of();
    private final Map<CallerRequest, RelayCall> mByRequest = new HashMap<>();
    private final RequestGate mGate;
    private volatile RelayConfiguration mConfiguration;
    private long mHeldBytes;

    RelayService(
            final TimeSource time,
            final RelayLog log,
            final RelayDialect dialect,
            final UpstreamConnections connections,
            final RetryBudget budget,
            final FleetQuota quota,
            final long seed) {
        mTime = time;
        mLog = log;
        mDialect = dialect;
        mRequests = new UpstreamRequests(dialect);
        mConnections = connections;
        mCrashes = new CrashWatch<>(connections::hasOpen);
        mBudget = budget;
        mQuota = quota;
        mGate = new RequestGate(quota, mLengths, seed);
        mScheduler = new RelayScheduler(this, log, seed + 1);
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    UpstreamConnections connections() {
        return mConnections;
    }

    ReplicaSet replicas() {
        return mReplicas;
    }

    FleetQuota quota() {
        return mQuota;
    }

    CrashSuspects suspects() {
        return mSuspects;
    }

    UpstreamRequests requests() {
        return mRequests;
    }

    /** Tells whether no request needs the timer. */
    boolean isIdle() {
        return mActive.isEmpty() && mEarly.isEmpty();
    }

    int active() {
        return mActive.size();
    }

    int waiting() {
        return mScheduler.waiting();
    }

    long heldBytes() {
        return mHeldBytes;
    }

    CallerLimits limits() {
        final RelayConfiguration configuration = mConfiguration;
        return configuration == null ? CallerLimits.STANDARD : configuration.limits();
    }

    boolean isConfigured() {
        return mConfiguration != null;
    }

    @Override
    public void onConfiguration(final RelayConfiguration configuration) {
        mConfiguration = configuration;
        mQuota.configure(configuration.customers(), nowNanos());
        mQuota.onLevels(mEarlyLevels);
        mEarlyLevels = Map.of();
        mEarly.takeAll().forEach(this::onRequest);
    }

    /** Takes this daemon's share of the replicas' slots. */
    void onShares(final SlotShares shares) {
        mScheduler.onShares(shares);
    }

    /** Takes the levels of quotas from another daemon, which may come before the configuration. */
    void onQuotaLevels(final Map<String, Long> levels) {
        if (mConfiguration == null) {
            mEarlyLevels = levels;
        } else {
            mQuota.onLevels(levels);
        }
    }

    @Override
    public void onReplicas(final Collection<ReplicaEntry> entries) {
        mReplicas.replace(entries);
        mScheduler.placeAll();
    }

    @Override
    public void onRequest(final CallerRequest request) {
        final RelayConfiguration configuration = mConfiguration;
        if (configuration == null) {
            mEarly.add(request);
            return;
        }
        final RequestGate.Verdict verdict = mGate.admit(request, configuration, nowNanos());
        if (verdict.refusal() != null) {
            final RelayRefusal refusal = verdict.refusal();
            refuse(request, refusal.status(), refusal.reason(), verdict.returnMillis());
        } else {
            accept(new RelayCall(verdict.task(), this));
        }
    }

    @Override
    public void onCallerGone(final CallerRequest request) {
        mEarly.remove(request);
        final RelayCall call = mByRequest.get(request);
        if (call != null) {
            mScheduler.remove(call);
            call.onCallerGone();
        }
    }

    @Override
    public void onCallerWritable(final CallerRequest request, final boolean writable) {
        final RelayCall call = mByRequest.get(request);
        if (call != null) {
            call.onCallerWritable(writable);
        }
    }

    /** Places waiting attempts and ends those whose time is over. */
    void onTimer(final long nowNanos) {
        for (final RelayCall call : List.copyOf(mActive)) {
            if (call.task().millisLeft(nowNanos) <= DEADLINE_MARGIN_MILLIS) {
                onDeadline(call);
            } else {
                checkStall(call, nowNanos);
            }
        }
        for (final CallerRequest request : mEarly.takeOverdue(nowNanos)) {
            refuse(
                    request,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "no configuration is known",
                    NO_CONFIGURATION_RETURN_MILLIS);
        }
        mCrashes.onTimer(this::isAnyOlderAt, nowNanos, this::onCrash);
        mScheduler.placeAll();
    }

    private boolean isAnyOlderAt(final Replica replica, final long beforeNanos) {
        return mActive.stream()
                .anyMatch(
                        call ->
                                call.replica() == replica
                                        && call.isAtReplica()
                                        && call.sending().sentNanos() - beforeNanos < 0);
    }

    private void onCrash(final Replica replica, final Collection<RelayCall> calls) {
        mLog.crashed(replica, calls.size());
        mSuspects.onCrash(replica, calls, nowNanos());
    }

    /** Accepts from now on only what will be answered before the process ends. */
    void leave(final long endNanos) {
        mScheduler.leave(endNanos);
    }

    /** Ends what is left when the process has to end. */
    void abortAll() {
        for (final RelayCall call : List.copyOf(mActive)) {
            mScheduler.remove(call);
            onFailed(call, HttpResponseStatus.SERVICE_UNAVAILABLE, "the daemon ends");
        }
    }

    /** Answers a request without sending it to a replica. */
    void answer(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long returnMillis) {
        final HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        if (returnMillis > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, mDialect.retryAfter(returnMillis));
        }
        final ByteBuf body = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8);
        request.connection().answer(status, headers, body);
    }

    /** Tells whether an attempt may be sent to another replica. */
    boolean mayResend(final RelayCall call, final boolean notRun) {
        return call.attempts() < call.task().route().maximumAttempts()
                && (notRun || call.task().route().repeat().isRepeatable())
                && call.task().millisLeft(nowNanos()) > LEAST_RESEND_MILLIS
                && hasOtherReplica(call)
                && mBudget.take(call.task().upstream());
    }

    /** Lets an attempt wait for another replica. */
    void resend(final RelayCall call, final String kind, final String reason) {
        mLog.resent(call, kind, reason, mBudget.left(call.task().upstream()));
        mScheduler.submit(call);
    }

    void onReplicaUnreachable(final RelayCall call, final String reason) {
        final Replica replica = call.replica();
        if (replica.health().onUnreachable(nowNanos())) {
            mLog.avoided(replica, "unreachable: " + reason);
        }
    }

    void onReplicaBroke(final RelayCall call, final String reason) {
        final Replica replica = call.replica();
        if (replica.health().onFailure(nowNanos())) {
            mLog.avoided(replica, reason);
        }
        mCrashes.onBroken(call.replica(), call, nowNanos());
    }

    void onReplicaError(final RelayCall call, final HttpResponseStatus status) {
        if (call.replica().health().onErrorAnswer(nowNanos())) {
            mLog.avoided(call.replica(), "answers " + status.code());
        }
    }

    void onReplicaRefused(final RelayCall call, final HttpResponseStatus status) {
        if (status.code() == 421) {
            call.replica().health().onUnreachable(nowNanos());
            mLog.avoided(call.replica(), "another replica has its address");
        } else if (call.replica().load(nowNanos()) < call.replica().entry().slots()) {
            onReplicaError(call, status);
        }
    }

    void onFirstEvent(final RelayCall call) {
        final long now = nowNanos();
        final Sending sending = call.sending();
        final int prefill = sending.choice().prefillTokens();
        mScheduler.onPromptRead(call);
        mLog.firstEvent(call, now);
        sending.replica().onPredictionError(sending.firstMillis() - sending.choice().firstMillis());
        if (sending.choice().waitMillis() <= 0 && prefill >= LONG_PROMPT_TOKENS) {
            sending.replica().onPrefillTime(sending.firstMillis() * 1_000.0 / prefill);
        }
    }

    void onSucceeded(final RelayCall call, final HttpResponseStatus status, final int events) {
        final Replica replica = call.replica();
        replica.health().onSuccess();
        final int perEvent = tokensPerEvent(call.task().upstream());
        if (events > 2) {
            replica.onTokenTime(call.sending().streamMillis() / (events - 1) / perEvent);
            mLengths.onAnswered(call.task().route().name(), events * perEvent);
        }
        mSuspects.onAnswered(call, nowNanos());
        mLog.answered(call, status, events, nowNanos());
    }

    void onCancelled(final RelayCall call) {
        mLog.cancelled(call, nowNanos());
    }

    /** Ends an attempt that can't be served. */
    void onFailed(final RelayCall call, final HttpResponseStatus failure, final String reason) {
        final HttpResponseStatus status =
                call.mayHaveRun() && failure.code() == 503
                        ? HttpResponseStatus.BAD_GATEWAY
                        : failure;
        final long now = nowNanos();
        final long returnMillis = status.code() == 503 ? mScheduler.returnMillis(call) : 0;
        mLog.failed(call, status, reason, now);
        call.fail(status, reason, returnMillis);
    }

    void onDone(final RelayCall call) {
        mActive.remove(call);
        mByRequest.remove(call.task().request());
        mHeldBytes -= call.task().request().body().readableBytes();
        mScheduler.place(call.task().upstream());
    }

    private void accept(final RelayCall call) {
        final RelayTask task = call.task();
        if (mSuspects.isStopped(call, nowNanos())) {
            refuse(
                    task.request(),
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "requests of this content crashed replicas",
                    QUARANTINE_RETURN_MILLIS);
            return;
        }
        mActive.add(call);
        mByRequest.put(task.request(), call);
        mHeldBytes += task.request().body().readableBytes();
        mBudget.onRequest(task.upstream());
        mScheduler.submit(call);
    }

    private void refuse(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long returnMillis) {
        final long version = mConfiguration == null ? 0 : mConfiguration.version();
        mLog.turnedAway(request, status, reason, version, returnMillis);
        answer(request, status, reason, returnMillis);
    }

    private void onDeadline(final RelayCall call) {
        mScheduler.remove(call);
        final boolean sent = call.phase() != RelayCall.Phase.WAITING || call.mayHaveRun();
        onFailed(
                call,
                sent ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.SERVICE_UNAVAILABLE,
                "the time is over");
    }

    private void checkStall(final RelayCall call, final long now) {
        final RelayCall.Phase phase = call.phase();
        if (phase != RelayCall.Phase.SENT && phase != RelayCall.Phase.STREAMING) {
            return;
        }
        final double silent = call.sending().silentMillis(now);
        final double limit = mStalls.limitMillis(call.task().route(), call.sending());
        if (silent < limit || !call.sending().noteStall()) {
            return;
        }
        final Replica replica = call.replica();
        if (replica.health().onFailure(now)) {
            mLog.avoided(replica, "silent for " + Math.round(silent) + " ms");
        }
        if (call.task().route().repeat().isRepeatable() && mayResend(call, false)) {
            call.abandonReplica();
            resend(call, "stalled", "silent for " + Math.round(silent) + " ms");
        }
    }

    private boolean hasOtherReplica(final RelayCall call) {
        final Set<String> used = new HashSet<>(call.excluded());
        used.add(call.replica().entry().id());
        return mReplicas.of(call.task().upstream()).stream()
                .anyMatch(r -> !r.entry().draining() && !used.contains(r.entry().id()));
    }

    private int tokensPerEvent(final String upstream) {
        final RelayConfiguration configuration = mConfiguration;
        return configuration == null
                ? 1
                : configuration
                        .upstream(upstream)
                        .flatMap(pool -> pool.engine())
                        .map(EngineProfile::tokensPerEvent)
                        .orElse(1);
    }
}
