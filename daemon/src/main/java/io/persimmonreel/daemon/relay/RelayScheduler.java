package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import io.persimmonreel.core.admission.PlaceForecast;
import io.persimmonreel.core.admission.RateLimitedWait;
import io.persimmonreel.core.admission.ReplicaForecast;
import io.persimmonreel.core.admission.ReturnSchedule;
import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.admission.ShutdownAdmission;
import io.persimmonreel.core.admission.ShutdownTimes;
import io.persimmonreel.core.admission.SpareCapacity;
import io.persimmonreel.core.admission.TimeLeft;
import io.persimmonreel.core.grant.SlotAnswer;
import io.persimmonreel.core.placement.Placement;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.PromptCacheEstimate;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.placement.UpstreamCapacity;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaRegistry;
import io.persimmonreel.daemon.refusal.QueueState;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/** Queues requests and sends each to a replica or refuses it. All methods run on the event loop. */
final class RelayScheduler {
    /**
     * A pass after the end of a request compares replicas until this many requests could not be
     * placed; the rest would not be placed either.
     */
    private static final int MAXIMUM_UNPLACED_PER_PASS = 8;

    /** The same for a pass that the timer starts, since some requests may use other replicas. */
    private static final int MAXIMUM_UNPLACED_PER_TIMER = 400;

    /** The maximum number of dispatches of one request, including those to unreachable replicas. */
    private static final int MAXIMUM_DISPATCHES = 6;

    /** The Retry-After time during shutdown; another daemon can serve the caller at once. */
    private static final long SHUTDOWN_RETRY_AFTER_MILLIS = 10;

    private final RelayService mService;
    private final RelayLog mLog;
    private final ReplicaRegistry mReplicas;
    private final ContentQuarantine mQuarantine;
    private final ReplicaRateLimits mRateLimits;
    private final PromptCacheEstimate mPromptCache;
    private final Placement mPlacement;
    private final ShutdownAdmission mShutdownAdmission = new ShutdownAdmission();
    private final SpareCapacity mSpareCapacity = new SpareCapacity();
    private final RequestQueue mQueue;
    private final PlacementOrder mOrder;
    private final Map<String, ReturnSchedule> mReturns = new HashMap<>();
    private final Executor mEventLoop;
    private final Set<String> mPendingPasses = new LinkedHashSet<>();
    private SlotShares mShares = SlotShares.UNDIVIDED;
    private int mDaemons = 1;
    private SlotGate mSlotGate = SlotGate.NONE;
    private ShutdownTimes mShutdown;

    RelayScheduler(
            final RelayService service,
            final RelayLog log,
            final Executor eventLoop,
            final HeldLimits heldLimits,
            final long seed) {
        mService = service;
        mEventLoop = eventLoop;
        mLog = log;
        mReplicas = service.replicas();
        mQuarantine = service.quarantine();
        mRateLimits = service.rateLimits();
        mPromptCache = new PromptCacheEstimate(name -> service.engine(name).memoryTokens());
        mPlacement = new Placement(mPromptCache, seed);
        mQueue = new RequestQueue(heldLimits);
        mOrder = new PlacementOrder(log);
    }

    /** Accepts from now on only requests that can be served before the process ends. */
    void beginShutdown(final ShutdownTimes shutdown) {
        mShutdown = shutdown;
    }

    /** Sets this daemon's share of the replicas' slots and the number of daemons that use them. */
    void onShares(final SlotShares shares, final int daemons) {
        mShares = shares;
        mDaemons = Math.max(1, daemons);
        mPlacement.onShares(shares);
    }

    /** Sets what is asked for slots of upstreams whose slots are not divided. */
    void use(final SlotGate gate) {
        mSlotGate = gate;
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

    /**
     * Queues a request and requests a pass, which sends it if a replica has room. If too many wait,
     * the last one is refused.
     */
    void submit(final RelayCall call) {
        mSlotGate.release(call);
        mQueue.add(new WaitingRequest(call, fastestRun(call)));
        mOrder.onQueued(call, mService.nowNanos());
        Optional<WaitingRequest> last = mQueue.excess(mService.nowNanos());
        while (last.isPresent()) {
            refuse(last.get(), "too many requests wait", null, placeAtEnd(last.get().call()));
            last = mQueue.excess(mService.nowNanos());
        }
        requestPass(call.task().upstream());
    }

    void remove(final RelayCall call) {
        mSlotGate.release(call);
        mQueue.remove(call);
    }

    /** Records that the response to a request is complete. */
    void onServed(final RelayCall call) {
        mSlotGate.onServed(call, mService.nowNanos());
    }

    /** Tries to place the waiting requests of all upstreams. */
    void placeAll() {
        mOrder.onTimer(mService.nowNanos());
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
        final long now = mService.nowNanos();
        final List<Candidate<WaitingRequest>> soonest = mQueue.bySoonestStart(upstream, now);
        final PlacementPass pass =
                newPass(upstream, soonest.get(0).request().run(), maximumUnplaced);
        for (final WaitingRequest request : mOrder.arrange(upstream, soonest, pass, now)) {
            if (request.call().phase() == RelayCall.Phase.WAITING
                    && !placeIsolated(request, pass)
                    // A bound one may wait for few replicas, while others are free for the rest.
                    && !request.call().versionBinding().isBound()) {
                pass.onHeld(request.run().totalMillis());
            }
        }
        mLog.pass(upstream, soonest.size(), mService.nowNanos() - now);
    }

    private PlacementPass newPass(
            final String upstream, final RunForecast typical, final int maximumUnplaced) {
        final long now = mService.nowNanos();
        final List<Replica> replicas = mReplicas.ofUpstream(upstream);
        final List<Replica> open =
                mRateLimits.withPermit(replicas, now).stream().filter(r -> r.isOpen(now)).toList();
        final List<Replica> healthy =
                open.stream().filter(replica -> !replica.health().isEjected(now)).toList();
        return new PlacementPass(
                UpstreamCapacity.of(healthy, mShares, mDaemons, typical.totalMillis(), now),
                open.size() < replicas.size(),
                maximumUnplaced);
    }

    private RunForecast fastestRun(final RelayCall call) {
        return mPlacement.fastestRun(call.task().work(), candidates(call));
    }

    private List<Replica> candidates(final RelayCall call) {
        return mService.takeUps().candidates(call);
    }

    /** Records that the replica of a request finished its prefill. */
    void onPrefillDone(final RelayCall call) {
        mPromptCache.onPrefill(call.task().work(), call.replica(), mService.nowNanos());
        mPromptCache.onFirstEvent(call.dispatch().choice(), call.dispatch().firstEventMillis());
    }

    /**
     * Returns the Retry-After time in milliseconds for the caller of a request that did not run, 0
     * if there is nothing to wait for.
     */
    long retryAfterMillis(final RelayCall call) {
        return retryAfterMillis(call, placeAtEnd(call));
    }

    private long retryAfterMillis(final RelayCall call, final PlaceForecast place) {
        final long now = mService.nowNanos();
        final String upstream = call.task().upstream();
        return mReturns.computeIfAbsent(upstream, name -> new ReturnSchedule())
                .delayMillis(
                        mReplicas.awaitsEvacuationEnd(upstream, now)
                                ? PlaceForecast.INDEFINITE
                                : place,
                        call.task().millisLeft(now),
                        now);
    }

    /** Predicts when a request would get a slot that comes after all that wait. */
    private PlaceForecast placeAtEnd(final RelayCall call) {
        final long now = mService.nowNanos();
        final String upstream = call.task().upstream();
        final List<Replica> replicas = candidates(call);
        if (mQueue.isEmpty(upstream)
                && choose(call, mRateLimits.withPermit(replicas, now), now)
                        .filter(choice -> choice.forecast().hasRoom())
                        .isPresent()) {
            return PlaceForecast.UNKNOWN;
        }
        final PlacementPass pass = newPass(upstream, fastestRun(call), MAXIMUM_UNPLACED_PER_PASS);
        for (final WaitingRequest waiting : mQueue.waiting(upstream)) {
            pass.onHeld(waiting.run().totalMillis());
        }
        return pass.forecast(mRateLimits.waitFor(call, replicas, now));
    }

    /** Places a request; if that fails unexpectedly, it ends this request only. */
    private boolean placeIsolated(final WaitingRequest request, final PlacementPass pass) {
        try {
            return place(request, pass);
        } catch (final RuntimeException | Error e) {
            mService.endAfterError(request.call(), "placement", e);
            return true;
        }
    }

    /** Sends or refuses a request; returns false if it continues to wait. */
    private boolean place(final WaitingRequest waiting, final PlacementPass pass) {
        final long now = mService.nowNanos();
        final RelayCall call = waiting.call();
        final Optional<ContentQuarantine.Refusal> refusal = mQuarantine.refusal(call, now);
        if (refusal.isPresent()) {
            onQuarantined(call, refusal.get());
            return true;
        }
        final List<Replica> replicas = candidates(call);
        final SlotAnswer slot = askForSlot(call, replicas, now);
        if (slot.state() == SlotAnswer.State.ASKED || slot.state() == SlotAnswer.State.WAITING) {
            return onSlotAwaited(waiting, slot, pass, now);
        }
        final Optional<Choice> granted = granted(call, slot, now);
        final Optional<Choice> chosen =
                granted.isPresent() || pass.isExhausted()
                        ? granted
                        : choose(call, mRateLimits.withPermit(replicas, now), now);
        final RateLimitedWait closed =
                pass.isAnyClosed()
                        ? mRateLimits.waitFor(call, replicas, now)
                        : new RateLimitedWait();
        if (chosen.isEmpty() && !pass.isExhausted() && closed.isEmpty()) {
            return onNoReplica(waiting, now);
        }
        if (chosen.isPresent() && isLeavingBeforeEnd(call, chosen.get(), now)) {
            refuse(call, "the daemon is leaving", chosen.get(), null, SHUTDOWN_RETRY_AFTER_MILLIS);
            return true;
        }
        if (granted.isPresent()) {
            send(call, granted.get(), replicas.size(), now);
            return true;
        }
        final WaitingRequest request =
                chosen.map(choice -> waiting.withRun(choice.run())).orElse(waiting);
        mQueue.update(request);
        final PlaceForecast place = pass.forecast(closed);
        final TimeLeft left = timeLeft(call, now);
        final ReplicaForecast replica = chosen.map(Choice::forecast).orElse(ReplicaForecast.NONE);
        switch (call.versionBinding().isBound()
                ? Admission.decideContinuation(left, replica, request.run())
                : Admission.decide(left, replica, place, request.run())) {
            case SEND:
                send(call, chosen.get(), replicas.size(), now);
                return true;
            case REFUSE:
                return onTooLate(request, chosen.orElse(null), place, reason(call, pass, now));
            default:
                return false;
        }
    }

    /** Asks for a slot, unless this daemon has slots of its own. */
    private SlotAnswer askForSlot(
            final RelayCall call, final List<Replica> replicas, final long now) {
        return needsGrant(call)
                ? mSlotGate.ask(
                        call,
                        mRateLimits.withPermit(replicas, now),
                        mQuarantine.excludedReplicas(call, now),
                        now)
                : SlotAnswer.NONE;
    }

    private boolean needsGrant(final RelayCall call) {
        return !mShares.isDivided(call.task().upstream()) && mSlotGate.appliesTo(call);
    }

    /** Returns the granted replica, empty if there is no grant or the replica can't be used. */
    private Optional<Choice> granted(final RelayCall call, final SlotAnswer slot, final long now) {
        return mReplicas
                .find(slot.replica())
                .filter(replica -> call.versionBinding().admits(replica.entry()))
                .flatMap(
                        replica ->
                                choose(call, mRateLimits.withPermit(List.of(replica), now), now));
    }

    /** Refuses a request whose slot will come too late; returns false if it waits for it. */
    private boolean onSlotAwaited(
            final WaitingRequest request,
            final SlotAnswer slot,
            final PlacementPass pass,
            final long now) {
        final PlaceForecast place = pass.forecast(slot);
        return Admission.decide(
                                timeLeft(request.call(), now),
                                ReplicaForecast.NONE,
                                place,
                                request.run())
                        == Admission.Decision.REFUSE
                && onTooLate(request, null, place, "all replicas are busy");
    }

    private void send(
            final RelayCall call, final Choice choice, final int candidates, final long now) {
        mQueue.remove(call);
        mOrder.onSent(call, now);
        if (!mService.quotaGate().isPermitted(call)) {
            mSlotGate.release(call);
            mService.quotaGate().admit(call);
            return;
        }
        mLog.sent(call, choice, candidates, now);
        mRateLimits.onSent(choice.replica(), now);
        if (needsGrant(call)) {
            mSlotGate.onSent(call, choice.replica());
        }
        call.dispatch(choice);
        mQuarantine.onSent(call, now);
    }

    /**
     * Refuses a request that can't get a slot in time. One that may have run waits until its
     * deadline, since its caller can't be told that it did not; returns false if it does.
     */
    private boolean onTooLate(
            final WaitingRequest request,
            final Choice best,
            final PlaceForecast place,
            final String reason) {
        final RelayCall call = request.call();
        if (call.canBeRefused()) {
            refuse(request, reason, best, place);
            return true;
        }
        if (place.waitMillis() < call.task().millisLeft(mService.nowNanos())) {
            return false;
        }
        mService.fail(call, HttpResponseStatus.BAD_GATEWAY, reason);
        return true;
    }

    private String reason(final RelayCall call, final PlacementPass pass, final long now) {
        final List<Replica> replicas = candidates(call);
        final boolean isAllowed = mRateLimits.withPermit(replicas, now).size() == replicas.size();
        if (replicas.stream().anyMatch(replica -> replica.availability().isPushedBack(now))) {
            return "the replicas want no requests for now";
        }
        final String reason =
                pass.isWithoutCapacity() ? "no replica can be used" : "all replicas are busy";
        return isAllowed
                ? mService.replicaObserver().refusalReason(call, reason)
                : "the replicas limit the rate of requests";
    }

    /** Returns the time that the caller has left, at most until the end of the process. */
    private TimeLeft timeLeft(final RelayCall call, final long now) {
        final TimeLeft left = call.task().timeLeft(now);
        return mShutdown == null ? left : mShutdown.limit(left, now);
    }

    /** Returns whether this process may end before a request that was not sent yet. */
    private boolean isLeavingBeforeEnd(final RelayCall call, final Choice choice, final long now) {
        return mShutdown != null && call.dispatchCount() == 0 && !mayFinish(call, choice, now);
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
                call.task().forecast(choice).withDeadline(call.task().millisLeft(now)),
                arrivedNanos - mShutdown.balancersReactedNanos() >= 0,
                mShutdown.millisLeft(now));
    }

    private void onQuarantined(final RelayCall call, final ContentQuarantine.Refusal refusal) {
        if (!call.canBeRefused()) {
            mService.fail(call, HttpResponseStatus.BAD_GATEWAY, refusal.reason());
        } else {
            refuse(call, refusal.reason(), null, null, refusal.retryAfterMillis());
        }
    }

    private boolean onNoReplica(final WaitingRequest request, final long now) {
        final RelayCall call = request.call();
        if (!call.canBeRefused()) {
            mService.fail(call, HttpResponseStatus.BAD_GATEWAY, "no other replica is left");
            return true;
        }
        final boolean isVersionGone =
                call.versionBinding().isBound()
                        && candidates(call).stream().allMatch(Replica::isWithdrawn);
        // The outage may end at any time, so the request waits as long as it could be served then.
        if (!isVersionGone
                && timeLeft(call, now).latestStartMillis(request.run()) >= 0
                && call.dispatchCount() < MAXIMUM_DISPATCHES) {
            call.excludedReplicas().clear();
            return false;
        }
        final String reason =
                isVersionGone
                        ? "no replica has the stream's version"
                        : mService.replicaObserver().refusalReason(call, "no replica can be used");
        refuse(request, reason, null, PlaceForecast.UNKNOWN);
        return true;
    }

    private void refuse(
            final WaitingRequest request,
            final String reason,
            final Choice best,
            final PlaceForecast place) {
        final RelayCall call = request.call();
        final QueueState queue =
                new QueueState(
                        mOrder.isDeferred(call), request.run(), place, mSlotGate.report(call));
        refuse(call, reason, best, queue, retryAfterMillis(call, place));
    }

    private void refuse(
            final RelayCall call,
            final String reason,
            final Choice best,
            final QueueState queue,
            final long retryAfterMillis) {
        mLog.refusedWhileQueued(call, reason, queue, best, retryAfterMillis, mService.nowNanos());
        call.fail(HttpResponseStatus.BAD_GATEWAY, reason, retryAfterMillis);
    }
}
