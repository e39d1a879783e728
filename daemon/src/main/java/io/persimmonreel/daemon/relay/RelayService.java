package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.admission.ShutdownTimes;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.quota.ClaimRefusal;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.ratelimit.RateShares;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.route.EngineProfile;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.directory.DirectoryListener;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Manages relayed requests from acceptance to completion and decides whether they are sent again.
 * All methods run on the event loop.
 */
final class RelayService implements CallerListener, DirectoryListener, QuotaGate.Listener {
    /**
     * The time before its deadline at which a request is ended, so that the error response still
     * arrives.
     */
    private static final double DEADLINE_MARGIN_MILLIS = 50;

    /** The Retry-After time for callers whose requests arrive before the first configuration. */
    private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 300;

    private final TimeSource mTime;
    private final RelayLog mLog;
    private final ErrorResponder mErrorResponder;
    private final UpstreamRequestBuilder mRequestBuilder;
    private final UpstreamConnectionPool mConnections;
    private final ReplicaRegistry mReplicas = new ReplicaRegistry();
    private final StallRule mStallRule = new StallRule();
    private final FleetQuota mQuota;
    private final RetryBudget mBudget;
    private final ResendRules mResendRules;
    private final StreamTakeUps mTakeUps;
    private final ContentQuarantine mQuarantine;
    private final ConfigurationMonitor mConfigurationMonitor = new ConfigurationMonitor();
    private final OutputLengthEstimator mOutputLengths = new OutputLengthEstimator();
    private final ReplicaRateLimits mRateLimits;
    private final FleetNotices mNotices;
    private final ReplicaObserver mReplicaObserver;
    private final RelayScheduler mScheduler;
    private final ActiveCalls mCalls = new ActiveCalls();
    private final PreConfigurationQueue mPreConfigurationQueue = new PreConfigurationQueue();
    private final QuotaGate mQuotaGate;
    private final RequestResolver mResolver;
    private volatile RelayConfiguration mConfiguration;

    RelayService(
            final TimeSource time,
            final RelayLog log,
            final RelayDialect dialect,
            final UpstreamConnectionPool connections,
            final RetryBudget budget,
            final FleetQuota quota,
            final Executor eventLoop,
            final Duration lastResort,
            final HeldLimits heldLimits,
            final long seed) {
        mTime = time;
        mLog = log;
        mErrorResponder = new ErrorResponder(dialect);
        mRequestBuilder = new UpstreamRequestBuilder(dialect);
        mConnections = connections;
        mQuarantine = new ContentQuarantine(log, seed + 2);
        mBudget = budget;
        mQuota = quota;
        mQuotaGate = new QuotaGate(quota, time, eventLoop, log.quotaUse(), this::hasRoom, this);
        mResolver = new RequestResolver(mOutputLengths, seed);
        mRateLimits = new ReplicaRateLimits(mReplicas, log);
        mNotices = new FleetNotices(mQuarantine, mRateLimits);
        mReplicaObserver =
                new ReplicaObserver(
                        time,
                        log,
                        mCalls,
                        mQuarantine,
                        mRateLimits,
                        mReplicas,
                        connections,
                        lastResort);
        mTakeUps =
                new StreamTakeUps(
                        mReplicas,
                        time,
                        log,
                        call -> runFor(call, "admission", () -> mQuotaGate.admit(call)));
        mResendRules = new ResendRules(mTakeUps, budget);
        mScheduler = new RelayScheduler(this, log, eventLoop, heldLimits, seed + 1);
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    RelayLog log() {
        return mLog;
    }

    UpstreamConnectionPool connections() {
        return mConnections;
    }

    ReplicaRegistry replicas() {
        return mReplicas;
    }

    FleetQuota quota() {
        return mQuota;
    }

    QuotaGate quotaGate() {
        return mQuotaGate;
    }

    ContentQuarantine quarantine() {
        return mQuarantine;
    }

    ReplicaRateLimits rateLimits() {
        return mRateLimits;
    }

    ReplicaObserver replicaObserver() {
        return mReplicaObserver;
    }

    StreamTakeUps takeUps() {
        return mTakeUps;
    }

    RelayScheduler scheduler() {
        return mScheduler;
    }

    FleetNotices notices() {
        return mNotices;
    }

    ConfigurationMonitor configurationMonitor() {
        return mConfigurationMonitor;
    }

    UpstreamRequestBuilder requestBuilder() {
        return mRequestBuilder;
    }

    /** Returns whether no request needs the timer. */
    boolean isIdle() {
        return mCalls.isEmpty() && mPreConfigurationQueue.isEmpty();
    }

    int active() {
        return mCalls.size();
    }

    int waiting() {
        return mScheduler.waiting() + mQuotaGate.waiting();
    }

    long bufferedBytes() {
        return mCalls.bodyBytes();
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
        mConfigurationMonitor.onInForce(configuration.version(), nowNanos());
        mQuota.configure(configuration.customers(), nowNanos());
        mRateLimits.coldReplicas().onConfiguration(configuration, nowNanos());
        runForEach(mPreConfigurationQueue.takeAll(), this::onRequest);
    }

    /**
     * Sets this daemon's shares of the replicas' slots and of their rate limits, and the number of
     * daemons that are heard from, this one included.
     */
    void onShares(final SlotShares slots, final RateShares rates, final int daemons) {
        mScheduler.onShares(slots, daemons);
        mRateLimits.onShares(rates);
    }

    @Override
    public void onReplicas(final Collection<ReplicaEntry> entries) {
        mReplicas.replace(entries);
        mTakeUps.versions().onReplicas(entries, nowNanos(), mTime.wallMillis());
        mRateLimits.coldReplicas().onEntries(entries, nowNanos());
        mScheduler.placeAll();
    }

    @Override
    public void onEvacuatedZones(final Set<String> zones) {
        mLog.evacuations(mReplicas.evacuatedZones(), zones);
        mReplicas.evacuate(zones);
        EvacuationWithdrawal.withdrawUnwritten(this, mCalls.snapshot());
        mScheduler.placeAll();
    }

    @Override
    public void onRequest(final CallerRequest request) {
        final RelayConfiguration configuration = mConfiguration;
        if (configuration == null) {
            mPreConfigurationQueue.add(request);
            return;
        }
        final RequestResolver.Result result = mResolver.resolve(request, configuration, nowNanos());
        if (result.refusal() != null) {
            final RelayRefusal refusal = result.refusal();
            refuse(request, refusal.status(), refusal.reason(), 0);
        } else {
            accept(new RelayCall(result.task(), this));
        }
    }

    @Override
    public void onCallerGone(final CallerRequest request) {
        mPreConfigurationQueue.remove(request);
        final RelayCall call = mCalls.find(request);
        if (call != null) {
            runFor(call, "caller", call::onCallerGone);
        }
    }

    @Override
    public void onCallerWritable(final CallerRequest request, final boolean writable) {
        final RelayCall call = mCalls.find(request);
        if (call != null) {
            call.onCallerWritable(writable);
        }
    }

    /**
     * Places waiting requests and ends those whose deadline has passed or whose replica stalled.
     */
    void onTimer(final long nowNanos) {
        for (final RelayCall call : mCalls.snapshot()) {
            runFor(call, "timer", () -> checkTime(call, nowNanos));
        }
        refuseUnconfigured(mPreConfigurationQueue.takeOverdue(nowNanos));
        mQuota.onTimer(nowNanos);
        mTakeUps.onTimer(nowNanos);
        mScheduler.placeAll();
        mReplicaObserver.onTimer(nowNanos);
    }

    /**
     * Runs a step of one call that has not ended. If the step fails unexpectedly, it ends that call
     * only.
     */
    void runFor(final RelayCall call, final String step, final Runnable task) {
        if (call.isDone()) {
            return;
        }
        try {
            task.run();
        } catch (final RuntimeException | Error e) {
            endAfterError(call, step, e);
        }
    }

    /** Ends a call after an unexpected exception or error; never throws an exception itself. */
    void endAfterError(final RelayCall call, final String step, final Throwable error) {
        try {
            mLog.unexpectedError(step, call.task().id(), error);
            call.fail(HttpResponseStatus.BAD_GATEWAY, "unexpected error", 0);
        } catch (final RuntimeException | Error e) {
            call.abortResponse();
        }
    }

    /**
     * Runs a step for each of several requests that are no calls yet. If the step fails for one, it
     * ends that request only.
     */
    private void runForEach(
            final Collection<CallerRequest> requests, final Consumer<CallerRequest> step) {
        for (final CallerRequest request : requests) {
            try {
                step.accept(request);
            } catch (final RuntimeException | Error e) {
                mLog.unexpectedError("arrival", request.callerHeaders().attemptId(), e);
                request.connection().abort(request);
            }
        }
    }

    private void checkTime(final RelayCall call, final long nowNanos) {
        if (call.task().millisLeft(nowNanos) <= DEADLINE_MARGIN_MILLIS) {
            fail(call, HttpResponseStatus.GATEWAY_TIMEOUT, "the time is over");
        } else {
            checkStall(call, nowNanos);
        }
    }

    /** Accepts from now on only requests that can be served before the process ends. */
    void beginShutdown(final ShutdownTimes shutdown) {
        mScheduler.beginShutdown(shutdown);
    }

    /** Fails all remaining requests because the process has to end. */
    void abortAll() {
        for (final RelayCall call : mCalls.snapshot()) {
            runFor(
                    call,
                    "stop",
                    () -> fail(call, HttpResponseStatus.BAD_GATEWAY, "the daemon ends"));
        }
        refuseUnconfigured(mPreConfigurationQueue.takeAll());
    }

    private void refuseUnconfigured(final Collection<CallerRequest> requests) {
        runForEach(
                requests,
                request ->
                        refuse(
                                request,
                                HttpResponseStatus.SERVICE_UNAVAILABLE,
                                "no configuration is known",
                                NO_CONFIGURATION_RETRY_AFTER_MILLIS));
    }

    /** Responds to a request without sending it to a replica. */
    void respond(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long retryAfterMillis) {
        mErrorResponder.respond(request, status, reason, retryAfterMillis);
    }

    /**
     * Returns whether a request may be sent to another replica. If so, the resend is taken from the
     * retry budget.
     */
    boolean tryReserveResend(final RelayCall call, final boolean notRun) {
        return mResendRules.tryReserve(call, notRun, nowNanos());
    }

    /** Queues a request for another replica, once its customer's quota allows it. */
    void resend(final RelayCall call, final String resendReason, final String detail) {
        mLog.resent(call, resendReason, detail, mBudget.left(call.task().upstream()));
        mQuotaGate.admit(call);
    }

    void onFirstEvent(final RelayCall call) {
        final long now = nowNanos();
        mTakeUps.onFirstEvent(call);
        mScheduler.onPrefillDone(call);
        mQuarantine.onBegun(call, now);
        mLog.firstEvent(call, now);
        call.dispatch().recordFirstEvent();
    }

    void onSucceeded(final RelayCall call, final HttpResponseStatus status, final int events) {
        final Replica replica = call.replica();
        replica.health().onSuccess();
        mScheduler.onServed(call);
        final int tokensPerEvent = engine(call.task().upstream()).tokensPerEvent();
        if (events > 2) {
            replica.onTokenTime(call.dispatch().streamMillis() / (events - 1) / tokensPerEvent);
            mOutputLengths.addSample(call.task().route().name(), events * tokensPerEvent);
        }
        mQuarantine.onCompleted(call, nowNanos());
        mLog.answered(call, status, events, nowNanos());
    }

    void onCancelled(final RelayCall call) {
        mLog.cancelled(call, nowNanos());
    }

    /**
     * Ends a request that can't be served.
     *
     * @param call the request
     * @param ifMayHaveRun the status if a replica may have run the request; otherwise it is 503
     * @param reason the reason, one short sentence
     */
    void fail(final RelayCall call, final HttpResponseStatus ifMayHaveRun, final String reason) {
        if (call.isDone()) {
            return;
        }
        mLog.failed(call, call.failureStatus(ifMayHaveRun), reason, nowNanos());
        call.fail(ifMayHaveRun, reason, mScheduler.retryAfterMillis(call));
    }

    void onDone(final RelayCall call) {
        mScheduler.remove(call);
        mTakeUps.remove(call);
        mCalls.remove(call);
        mQuotaGate.onDone(call);
        mScheduler.requestPass(call.task().upstream());
    }

    private boolean hasRoom(final String upstream) {
        return mScheduler.hasRoom(upstream);
    }

    @Override
    public void onPermitted(final RelayCall call) {
        mScheduler.submit(call);
    }

    @Override
    public void onQuotaExhausted(final RelayCall call, final ClaimRefusal refusal) {
        final String reason = "the quota of " + call.task().customerName() + " is used up";
        if (!call.canBeRefused()) {
            fail(call, HttpResponseStatus.BAD_GATEWAY, reason);
            return;
        }
        mLog.overQuota(
                call,
                reason,
                refusal,
                mConfigurationMonitor.snapshot(nowNanos()),
                mQuotaGate.state(call),
                nowNanos());
        call.endWithError(HttpResponseStatus.TOO_MANY_REQUESTS, reason, refusal.retryMillis());
    }

    private void accept(final RelayCall call) {
        final RelayTask task = call.task();
        final Optional<ContentQuarantine.Refusal> refusal = mQuarantine.refusal(call, nowNanos());
        if (refusal.isPresent()) {
            refuse(
                    task.request(),
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    refusal.get().reason(),
                    refusal.get().retryAfterMillis());
            return;
        }
        mCalls.add(call);
        mBudget.onRequest(task.upstream());
        mTakeUps.admit(call);
    }

    private void refuse(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long retryAfterMillis) {
        mLog.refusedOnArrival(
                request,
                status,
                reason,
                mConfigurationMonitor.snapshot(nowNanos()),
                retryAfterMillis);
        respond(request, status, reason, retryAfterMillis);
    }

    private void checkStall(final RelayCall call, final long now) {
        final RelayCall.Phase phase = call.phase();
        if (phase != RelayCall.Phase.SENT && phase != RelayCall.Phase.STREAMING) {
            return;
        }
        final double silent = call.dispatch().silentMillis(now);
        final double limit = mStallRule.limitMillis(call.task().route(), call.dispatch());
        if (silent < limit || !call.dispatch().markStalled()) {
            return;
        }
        final Replica replica = call.replica();
        if (replica.health().onFailure(now)) {
            mLog.avoided(replica, "no data received for " + Math.round(silent) + " ms");
        }
        if (call.task().route().resendRule().allowsResend() && tryReserveResend(call, false)) {
            call.excludedReplicas().add(replica.entry().id());
            call.abandonReplica();
            resend(call, "stalled", "no data received for " + Math.round(silent) + " ms");
        }
    }

    /** Returns the properties of an upstream's engines, those of unknown ones for others. */
    EngineProfile engine(final String upstream) {
        final RelayConfiguration configuration = mConfiguration;
        return configuration == null ? EngineProfile.UNKNOWN : configuration.engine(upstream);
    }
}
