package io.persimmonreel.core.schedule;

import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.TrackedRequest.Phase;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Manages the dispatched requests of one upstream: running, paused and broken ones. Callers hold
 * the scheduler's lock.
 */
final class StartedRequests {
    /** A stream that broke more often than this is not resumed. */
    private static final int MAXIMUM_BREAKS = 2;

    /** Streams of a replica that is down this long end, since it has lost its KV cache. */
    private static final long REPLICA_DOWN_LIMIT_NANOS = 10_000_000_000L;

    /** Importing the KV cache elsewhere costs less than waiting longer than this for a slot. */
    private static final long IMPORT_AFTER_NANOS = 1_000_000_000L;

    private static final double MAXIMUM_SLOWDOWN = 5;
    private static final double SERVICE_TIME_WEIGHT = 0.05;

    private final UpstreamKind mKind;
    private final StreamPauser mPauser;
    private final Router mRouter;
    private final UrgentHeadroom mHeadroom;
    private final DecisionRecorder mDecisions;
    private final int[] mRunning = new int[Tier.values().length];
    private final List<Set<TrackedRequest>> mRunningByTier = new ArrayList<>();
    private final List<List<TrackedRequest>> mWaiting = new ArrayList<>();
    private int mRunningTotal;
    private int mBulkPrefills;
    private final double[] mSlowdown = new double[Tier.values().length];
    private double mMeanServiceNanos;

    StartedRequests(
            final UpstreamKind kind,
            final StreamPauser pauser,
            final Router router,
            final UrgentHeadroom headroom,
            final DecisionRecorder decisions) {
        mKind = kind;
        mPauser = pauser;
        mRouter = router;
        mHeadroom = headroom;
        mDecisions = decisions;
        for (int i = 0; i < mRunning.length; i++) {
            mSlowdown[i] = 1;
            mRunningByTier.add(new LinkedHashSet<>());
            mWaiting.add(new ArrayList<>());
        }
    }

    int running() {
        return mRunningTotal;
    }

    int running(final Tier tier) {
        return mRunning[tier.ordinal()];
    }

    /** Returns the number of running, paused and broken requests of a tier. */
    int started(final Tier tier) {
        return mRunning[tier.ordinal()] + mWaiting.get(tier.ordinal()).size();
    }

    /** Tells whether a tier has a paused or broken stream whose replica is reachable. */
    boolean hasResumable(final Tier tier) {
        for (final TrackedRequest request : mWaiting.get(tier.ordinal())) {
            if (request.mReplica.availability() != ReplicaAvailability.DOWN) {
                return true;
            }
        }
        return false;
    }

    int bulkPrefills() {
        return mBulkPrefills;
    }

    boolean isLowerTierRunning(final Tier tier) {
        for (int i = tier.ordinal() + 1; i < mRunning.length; i++) {
            if (mRunning[i] > 0) {
                return true;
            }
        }
        return false;
    }

    /** Estimates the nanoseconds until a number of waiting requests have run. */
    double drainNanos(final double waiting, final int slots) {
        return mMeanServiceNanos * waiting / Math.max(1, slots);
    }

    void start(final TrackedRequest request, final ReplicaState replica, final long nowNanos) {
        request.mUncachedTokens =
                mKind == UpstreamKind.PLAIN
                        ? 0
                        : Router.uncachedPromptTokens(replica, request.request());
        request.mBacklogTokens = replica.backlogTokens(nowNanos);
        request.mDispatchedNanos = nowNanos;
        if (request.tier() == Tier.BULK && mKind == UpstreamKind.ENGINE) {
            mBulkPrefills++;
        }
        run(request, replica, mKind == UpstreamKind.ENGINE, nowNanos);
    }

    private void run(
            final TrackedRequest request,
            final ReplicaState replica,
            final boolean prefill,
            final long nowNanos) {
        request.mPhase = Phase.RUNNING;
        request.mReplica = replica;
        request.mPhaseSinceNanos = nowNanos;
        request.mTokensAtStart = request.tokens().get();
        replica.occupySlot(request, prefill);
        mRunning[request.tier().ordinal()]++;
        mRunningByTier.get(request.tier().ordinal()).add(request);
        mRunningTotal++;
    }

    /** Removes a running request from its replica and updates the decode speed. */
    private void stop(final TrackedRequest request, final long nowNanos) {
        final int tokens = request.tokens().get() - request.mTokensAtStart;
        if (mKind == UpstreamKind.ENGINE && tokens > 1 && request.mHasFirstToken) {
            final long since =
                    request.mTokensAtStart == 0
                            ? request.mFirstTokenNanos
                            : request.mPhaseSinceNanos;
            request.mReplica.speed().onDecoded(tokens, nowNanos - since);
        }
        endPrefill(request);
        request.mReplica.freeSlot(request);
        mRunning[request.tier().ordinal()]--;
        mRunningByTier.get(request.tier().ordinal()).remove(request);
        mRunningTotal--;
    }

    private void endPrefill(final TrackedRequest request) {
        if (request.tier() == Tier.BULK && request.mPrefillCounted) {
            mBulkPrefills--;
        }
    }

    void onFirstToken(final TrackedRequest request, final long nowNanos) {
        if (request.mPhase == Phase.RUNNING && !request.mHasFirstToken) {
            endPrefill(request);
            request.mHasFirstToken = true;
            request.mFirstTokenNanos = nowNanos;
            request.mReplica.onFirstToken(request, nowNanos);
        }
    }

    void pause(final TrackedRequest request, final long nowNanos, final List<Directive> out) {
        stop(request, nowNanos);
        request.mPhase = Phase.PAUSED;
        request.mPhaseSinceNanos = nowNanos;
        request.mPauses++;
        mWaiting.get(request.tier().ordinal()).add(request);
        out.add(new Directive.Pause(request.id(), request.mReplica.id()));
        mDecisions.record(
                request.id(),
                Step.STREAM,
                "pause",
                request.mReplica.id(),
                "A higher tier needs the slot");
    }

    /**
     * Pauses all streams of the tiers below a threshold. The limit on pauses per stream does not
     * apply, since a higher tier may be refused only while no lower tier runs.
     */
    void pauseBelow(final Tier threshold, final long nowNanos, final List<Directive> out) {
        for (int i = threshold.ordinal() + 1; i < mRunning.length; i++) {
            if (mRunning[i] > 0) {
                for (final TrackedRequest request : List.copyOf(mRunningByTier.get(i))) {
                    if (mPauser.isPausable(request)) {
                        pause(request, nowNanos, out);
                    }
                }
            }
        }
    }

    /** Resumes streams of a tier, broken and long-paused ones first; returns whether any was. */
    boolean resume(
            final Tier tier,
            final int limit,
            final Dispatcher.Context context,
            final List<Directive> out) {
        final List<TrackedRequest> waiting = mWaiting.get(tier.ordinal());
        boolean resumed = false;
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 0; i < waiting.size() && mRunningTotal < limit; i++) {
                final TrackedRequest request = waiting.get(i);
                final boolean preferred =
                        request.mPhase == Phase.BROKEN || request.isAged(context.nowNanos());
                if (preferred == (pass == 0) && resumeOne(request, context, out)) {
                    waiting.remove(i--);
                    resumed = true;
                }
            }
        }
        return resumed;
    }

    private boolean resumeOne(
            final TrackedRequest request,
            final Dispatcher.Context context,
            final List<Directive> out) {
        final long nowNanos = context.nowNanos();
        final ReplicaState own = request.mReplica;
        final SlotPolicy slotPolicy = context.slotPolicy(request.tier());
        if (own.acceptsWork(nowNanos) && slotPolicy.admits(own, request.tier(), nowNanos)) {
            run(request, own, false, nowNanos);
            out.add(new Directive.Resume(request.id(), own.id(), ""));
            return true;
        }
        if (own.availability() == ReplicaAvailability.DOWN
                || (own.availability() == ReplicaAvailability.LIVE
                        && nowNanos - request.mPhaseSinceNanos < IMPORT_AFTER_NANOS)) {
            return false;
        }
        final ReplicaState other =
                mRouter.choose(
                        context.table(),
                        request,
                        slotPolicy,
                        Router.Mode.FREE_SLOT,
                        mPauser,
                        nowNanos);
        if (other == null || other == own) {
            return false;
        }
        run(request, other, false, nowNanos);
        out.add(new Directive.Resume(request.id(), other.id(), own.id()));
        mDecisions.record(
                request.id(), Step.RESUME, "import", other.id(), own.id() + " has no room");
        return true;
    }

    /** Ends waiting streams that are past their deadline, lost their replica or broke too often. */
    void endUnresumable(final long nowNanos, final List<Directive> out) {
        for (final List<TrackedRequest> waiting : mWaiting) {
            final Iterator<TrackedRequest> entries = waiting.iterator();
            while (entries.hasNext()) {
                final TrackedRequest request = entries.next();
                final boolean late = request.request().deadlineNanos() <= nowNanos;
                final boolean lost =
                        request.mReplica.availability() == ReplicaAvailability.DOWN
                                && nowNanos - request.mPhaseSinceNanos > REPLICA_DOWN_LIMIT_NANOS;
                if (late) {
                    updateSlowdown(request, MAXIMUM_SLOWDOWN);
                }
                if (late || lost || request.mBreaks > MAXIMUM_BREAKS) {
                    entries.remove();
                    request.mPhase = Phase.ENDED;
                    final String detail =
                            late
                                    ? "The stream did not end before the deadline"
                                    : "The stream broke and can't be resumed";
                    out.add(
                            new Directive.Refuse(
                                    request.id(),
                                    late
                                            ? ProblemType.DEADLINE_UNREACHABLE
                                            : ProblemType.UPSTREAM_FAILED,
                                    detail,
                                    0));
                    mDecisions.record(
                            request.id(), Step.STREAM, "fail", request.mReplica.id(), detail);
                }
            }
        }
    }

    /** Frees the slot of a request whose dispatch ended; a broken stream waits to be resumed. */
    void finish(final TrackedRequest request, final Completion completion, final long nowNanos) {
        final ReplicaState replica = request.mReplica;
        stop(request, nowNanos);
        request.mPhase = Phase.ENDED;
        switch (completion) {
            case ANSWERED -> {
                final long nanos = nowNanos - request.mDispatchedNanos;
                updateSlowdown(request, nanos / Math.max(1, request.mTypicalServiceNanos));
                if (mKind == UpstreamKind.PLAIN) {
                    replica.onPlainResponse(nanos, nowNanos);
                }
                replica.onSuccess(nowNanos);
                mMeanServiceNanos +=
                        (mMeanServiceNanos == 0 ? 1 : SERVICE_TIME_WEIGHT)
                                * (nanos - mMeanServiceNanos);
                if (request.tier() == Tier.URGENT) {
                    mHeadroom.onServed(nanos);
                }
            }
            case CANCELLED -> {
                replica.onCancelled();
                if (request.request().deadlineNanos() <= nowNanos) {
                    updateSlowdown(request, MAXIMUM_SLOWDOWN);
                }
            }
            case BROKEN -> {
                replica.onFailure(nowNanos);
                request.mPhase = Phase.BROKEN;
                request.mPhaseSinceNanos = nowNanos;
                request.mBreaks++;
                mWaiting.get(request.tier().ordinal()).add(request);
            }
            default -> replica.onFailure(nowNanos);
        }
    }

    /** Returns the ratio of measured to planned response time of a tier, pauses included. */
    double slowdown(final Tier tier) {
        return mSlowdown[tier.ordinal()];
    }

    private void updateSlowdown(final TrackedRequest request, final double ratio) {
        final int tier = request.tier().ordinal();
        final double bounded = Math.max(1, Math.min(MAXIMUM_SLOWDOWN, ratio));
        mSlowdown[tier] += SERVICE_TIME_WEIGHT * (bounded - mSlowdown[tier]);
    }

    /** Removes a paused or broken request that was cancelled. */
    void dropWaiting(final TrackedRequest request, final long nowNanos) {
        if (request.request().deadlineNanos() <= nowNanos) {
            updateSlowdown(request, MAXIMUM_SLOWDOWN);
        }
        request.mPhase = Phase.ENDED;
        mWaiting.get(request.tier().ordinal()).remove(request);
    }
}
