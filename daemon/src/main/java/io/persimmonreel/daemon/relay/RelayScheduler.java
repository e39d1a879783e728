package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.admission.ResponseForecast;
import io.persimmonreel.core.admission.ShutdownAdmission;
import io.persimmonreel.core.admission.SpareCapacity;
import io.persimmonreel.core.placement.Placement;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.PromptCacheEstimate;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.ratelimit.RateLimitedWait;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/** Queues requests and sends each to a replica or refuses it. All methods run on the event loop. */
final class RelayScheduler {
    /** The longest Retry-After time for callers of an upstream without usable replicas. */
    private static final long NO_REPLICA_RETRY_AFTER_MILLIS = 500;

    /**
     * A pass after the end of a request stops once this many requests could not be placed; the rest
     * would not be placed either.
     */
    private static final int MAXIMUM_UNPLACED_PER_PASS = 8;

    /**
     * A pass that the timer starts, which also refuses requests that waited too long, stops once
     * this many requests could not be placed.
     */
    private static final int MAXIMUM_UNPLACED_PER_TIMER = 400;

    /** The maximum number of dispatches of one request, including those to unreachable replicas. */
    private static final int MAXIMUM_DISPATCHES = 6;

    /** The Retry-After time during shutdown; another daemon can serve the caller at once. */
    private static final long SHUTDOWN_RETRY_AFTER_MILLIS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    private final RelayService mService;
    private final RelayLog mLog;
    private final ReplicaRegistry mReplicas;
    private final ContentQuarantine mQuarantine;
    private final ReplicaRateLimits mRateLimits;
    private final PromptCacheEstimate mPromptCache = new PromptCacheEstimate();
    private final Placement mPlacement;
    private final Admission mAdmission;
    private final ShutdownAdmission mShutdownAdmission = new ShutdownAdmission();
    private final SpareCapacity mSpareCapacity = new SpareCapacity();
    private final RequestQueue mQueue = new RequestQueue();
    private final Executor mEventLoop;
    private final Set<String> mPendingPasses = new LinkedHashSet<>();

    /** The requests that wait for a rate limit, counted in each pass over an upstream's queue. */
    private int mRateLimited;

    private Shutdown mShutdown;

    /**
     * Holds the times of a shutdown, as monotonic time in nanoseconds.
     *
     * @param balancersReactedNanos when load balancers direct callers to other daemons
     * @param processEndNanos when the process ends
     */
    record Shutdown(long balancersReactedNanos, long processEndNanos) {}

    RelayScheduler(
            final RelayService service,
            final RelayLog log,
            final Executor eventLoop,
            final long seed) {
        mService = service;
        mEventLoop = eventLoop;
        mLog = log;
        mReplicas = service.replicas();
        mQuarantine = service.quarantine();
        mRateLimits = service.rateLimits();
        mPlacement = new Placement(mPromptCache, seed);
        mAdmission = new Admission(seed + 1);
    }

    /** Accepts from now on only requests that can be served before the process ends. */
    void beginShutdown(final Shutdown shutdown) {
        mShutdown = shutdown;
    }

    /** Sets this daemon's share of the replicas' slots. */
    void onShares(final SlotShares shares) {
        mPlacement.onShares(shares);
    }

    /** Returns the number of waiting requests. */
    int waiting() {
        return mQueue.size();
    }

    /** Returns whether an upstream has room for requests beyond the quotas of their customers. */
    boolean hasRoom(final String upstream) {
        return mQueue.isEmpty(upstream)
                && mSpareCapacity.hasRoom(
                        mRateLimits.withPermit(mReplicas.ofUpstream(upstream), mService.nowNanos()),
                        mService.nowNanos());
    }

    /** Queues a request and requests a pass, which sends it if a replica has room. */
    void submit(final RelayCall call) {
        mQueue.add(call);
        requestPass(call.task().upstream());
    }

    void remove(final RelayCall call) {
        mQueue.remove(call);
    }

    /** Tries to place the waiting requests of all upstreams. */
    void placeAll() {
        mQueue.upstreams().forEach(upstream -> place(upstream, MAXIMUM_UNPLACED_PER_TIMER));
    }

    /**
     * Requests a pass that tries to place the waiting requests of an upstream, in order. It runs
     * after the present event, since a pass ends requests and the end of a request needs a pass.
     */
    void requestPass(final String upstream) {
        if (mQueue.isEmpty(upstream)) {
            return;
        }
        final boolean isScheduled = !mPendingPasses.isEmpty();
        mPendingPasses.add(upstream);
        if (!isScheduled) {
            mEventLoop.execute(this::runPendingPasses);
        }
    }

    private void runPendingPasses() {
        final List<String> upstreams = List.copyOf(mPendingPasses);
        mPendingPasses.clear();
        upstreams.forEach(upstream -> place(upstream, MAXIMUM_UNPLACED_PER_PASS));
    }

    private void place(final String upstream, final int maximumUnplaced) {
        if (mQueue.isEmpty(upstream)) {
            return;
        }
        final List<RelayCall> calls = mQueue.inOrder(upstream, mService.nowNanos());
        int unplaced = 0;
        mRateLimited = 0;
        for (int i = 0; i < calls.size() && unplaced < maximumUnplaced; i++) {
            final RelayCall call = calls.get(i);
            if (call.phase() == RelayCall.Phase.WAITING && !placeIsolated(call)) {
                unplaced++;
            }
        }
    }

    /** Records that the replica of a request finished its prefill. */
    void onPrefillDone(final RelayCall call) {
        mPromptCache.onPrefill(call.task().work(), call.replica(), mService.nowNanos());
    }

    /**
     * Returns the Retry-After time for the caller of a request that did not run, in milliseconds.
     */
    long retryAfterMillis(final RelayCall call) {
        final long now = mService.nowNanos();
        final long usual = mAdmission.retryAfterMillis(call.task().millisLeft(now));
        final double earliest =
                mReplicas.ofUpstream(call.task().upstream()).stream()
                        .mapToDouble(replica -> replica.waitMillis(now))
                        .min()
                        .orElse(0);
        return Double.isInfinite(earliest) || earliest <= usual
                ? usual
                : mAdmission.spreadMillis(earliest);
    }

    /** Places a request; if that fails unexpectedly, it ends this request only. */
    private boolean placeIsolated(final RelayCall call) {
        try {
            return place(call);
        } catch (final RuntimeException | Error e) {
            mService.endAfterError(call, "placement", e);
            return true;
        }
    }

    /** Sends or refuses a request; returns false if it continues to wait. */
    private boolean place(final RelayCall call) {
        final long now = mService.nowNanos();
        final RelayTask task = call.task();
        final Optional<ContentQuarantine.Refusal> refusal = mQuarantine.refusal(call, now);
        if (refusal.isPresent()) {
            onQuarantined(call, refusal.get());
            return true;
        }
        final List<Replica> replicas = mReplicas.ofUpstream(task.upstream());
        final Optional<Choice> chosen = choose(call, mRateLimits.withPermit(replicas, now), now);
        if (chosen.isEmpty()) {
            final RateLimitedWait wait = mRateLimits.waitFor(call, replicas, now);
            return wait.isEmpty() ? onNoReplica(call, now) : onRateLimited(call, wait, now);
        }
        final Choice choice = chosen.get();
        final Admission.Decision decision =
                mAdmission.decide(
                        task.requestTiming(now),
                        new Admission.ReplicaForecast(
                                choice.firstMillis(),
                                choice.waitMillis(),
                                choice.load() + choice.withheld(),
                                choice.replica().entry().slots()));
        final boolean wasDispatched = call.dispatchCount() > 0;
        if (!wasDispatched && mShutdown != null && !mayFinish(call, choice, now)) {
            mLog.refusedWhileQueued(
                    call, "the daemon is leaving", choice, SHUTDOWN_RETRY_AFTER_MILLIS);
            refuse(call, "the daemon is leaving", SHUTDOWN_RETRY_AFTER_MILLIS);
            return true;
        }
        switch (decision.kind()) {
            case SEND:
                mQueue.remove(call);
                if (!mService.quotaGate().isPermitted(call)) {
                    mService.quotaGate().admit(call);
                    return true;
                }
                mLog.sent(call, choice, replicas.size(), now);
                mRateLimits.onSent(choice.replica(), now);
                call.dispatch(choice);
                mQuarantine.onSent(call, now);
                return true;
            case REFUSE:
                if (!wasDispatched) {
                    mLog.refusedWhileQueued(
                            call, "all replicas are busy", choice, decision.retryAfterMillis());
                    refuse(call, "all replicas are busy", decision.retryAfterMillis());
                }
                return !wasDispatched;
            default:
                return false;
        }
    }

    /**
     * Chooses a replica. Replicas that run suspected content are avoided if others are available.
     */
    private Optional<Choice> choose(
            final RelayCall call, final List<Replica> replicas, final long now) {
        final RelayTask task = call.task();
        final double millisLeft = task.millisLeft(now);
        final Set<String> excluded = mQuarantine.excludedReplicas(call, now);
        final Optional<Choice> chosen =
                mPlacement.choose(task.work(), replicas, excluded, millisLeft, now);
        return chosen.isPresent() || excluded.equals(call.excludedReplicas())
                ? chosen
                : mPlacement.choose(
                        task.work(), replicas, call.excludedReplicas(), millisLeft, now);
    }

    /** Returns whether a request that is sent during the shutdown will end before the process. */
    private boolean mayFinish(final RelayCall call, final Choice choice, final long now) {
        final long arrivedNanos = call.task().request().arrivedNanos();
        return mShutdownAdmission.accepts(
                forecast(call.task(), choice).withDeadline(call.task().millisLeft(now)),
                arrivedNanos - mShutdown.balancersReactedNanos() >= 0,
                (mShutdown.processEndNanos() - now) / NANOS_PER_MILLI);
    }

    private static ResponseForecast forecast(final RelayTask task, final Choice choice) {
        final int expectedTokens = task.work().outputTokens();
        return expectedTokens <= 0
                ? ResponseForecast.ofPlainService(choice.totalMillis())
                : ResponseForecast.ofTokens(
                        choice.totalMillis(),
                        expectedTokens,
                        task.request().callerHeaders().maximumOutputTokens(),
                        choice.replica().tokenMillis(Placement.TYPICAL_TOKEN_MILLIS));
    }

    private void onQuarantined(final RelayCall call, final ContentQuarantine.Refusal refusal) {
        if (call.mayHaveRun() || call.hasResponseStarted()) {
            mService.fail(call, HttpResponseStatus.BAD_GATEWAY, refusal.reason());
        } else {
            mLog.refusedWhileQueued(call, refusal.reason(), null, refusal.retryAfterMillis());
            refuse(call, refusal.reason(), refusal.retryAfterMillis());
        }
    }

    /**
     * Handles a request whose replicas all lack a permit or pushed requests back; returns false if
     * it continues to wait.
     */
    private boolean onRateLimited(
            final RelayCall call, final RateLimitedWait wait, final long now) {
        final double millisLeft = call.task().millisLeft(now);
        final boolean wasSent = call.mayHaveRun() || call.hasResponseStarted();
        if (wasSent
                ? wait.waitMillis(mRateLimited) < millisLeft
                : wait.canServeInTime(
                        mRateLimited, call.task().objectiveMillisLeft(now), millisLeft)) {
            mRateLimited++;
            return false;
        }
        final boolean pushedBack = isAnyPushedBack(call, now);
        final String reason =
                pushedBack
                        ? "the replicas want no requests for now"
                        : "the replicas limit the rate of requests";
        if (wasSent) {
            mService.fail(call, HttpResponseStatus.BAD_GATEWAY, reason);
            return true;
        }
        final long earliestMillis = wait.retryAfterMillis(mRateLimited, millisLeft);
        final long retryAfterMillis =
                pushedBack ? mAdmission.spreadMillis(earliestMillis) : earliestMillis;
        mLog.refusedWhileQueued(call, reason, null, retryAfterMillis);
        refuse(call, reason, retryAfterMillis);
        return true;
    }

    private boolean isAnyPushedBack(final RelayCall call, final long now) {
        return mReplicas.ofUpstream(call.task().upstream()).stream()
                .anyMatch(replica -> replica.availability().isPushedBack(now));
    }

    private boolean onNoReplica(final RelayCall call, final long now) {
        if (call.mayHaveRun() || call.hasResponseStarted()) {
            mService.fail(call, HttpResponseStatus.BAD_GATEWAY, "no other replica is left");
            return true;
        }
        // An outage of all replicas may be short, so the request waits until its latency objective
        // is missed; after that the caller should retry elsewhere.
        if (call.task().objectiveMillisLeft(now) > 0 && call.dispatchCount() < MAXIMUM_DISPATCHES) {
            call.excludedReplicas().clear();
            return false;
        }
        final long retryAfterMillis =
                Math.min(NO_REPLICA_RETRY_AFTER_MILLIS, (long) (call.task().millisLeft(now) / 4));
        mLog.refusedWhileQueued(call, "no replica can be used", null, retryAfterMillis);
        refuse(call, "no replica can be used", retryAfterMillis);
        return true;
    }

    private void refuse(final RelayCall call, final String reason, final long retryAfterMillis) {
        call.fail(HttpResponseStatus.BAD_GATEWAY, reason, retryAfterMillis);
    }
}
