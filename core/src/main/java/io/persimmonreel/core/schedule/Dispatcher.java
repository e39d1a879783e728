package io.persimmonreel.core.schedule;

import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.Tier;
import java.util.List;
import java.util.function.Predicate;

/**
 * Starts waiting requests of one upstream while there are free slots. Callers hold the scheduler's
 * lock.
 */
final class Dispatcher {
    /** Bulk requests with a long prompt are in prefill on at most this share of the replicas. */
    private static final double BULK_PREFILL_SHARE = 0.5;

    private static final int LONG_PROMPT_TOKENS = 1000;
    private static final double BULK_MINIMUM_SHARE = 0.05;

    private final StartedRequests mStarted;
    private final StreamPauser mPauser;
    private final Router mRouter;
    private final DecisionRecorder mDecisions;

    /**
     * Holds the state of the upstream on which the decisions of one poll are based.
     *
     * @param table the replicas
     * @param statistics the summary of the replicas
     * @param allowance the most requests that this daemon may have in flight
     * @param headroom the part of the allowance that is reserved for urgent requests
     * @param threshold the shedding threshold in force, or null; lower tiers wait
     * @param bulkWaiting the number of waiting bulk requests
     * @param servable tells whether the dependencies of a request are servable
     * @param parked receives requests that wait for a dependency or for an allowed replica, and not
     *     for a free slot
     * @param nowNanos the present time
     */
    record Context(
            ReplicaTable table,
            UpstreamStatistics statistics,
            int allowance,
            double headroom,
            Tier threshold,
            int bulkWaiting,
            Predicate<TrackedRequest> servable,
            List<TrackedRequest> parked,
            long nowNanos) {
        /**
         * Returns how many bulk streams run even while higher tiers wait: 0 or 1, and 0 under a
         * threshold.
         */
        int bulkMinimum() {
            return threshold == null
                    ? (int) Math.min(1, statistics.capacity() * BULK_MINIMUM_SHARE)
                    : 0;
        }

        /** Returns this daemon's part of the upstream's capacity, from 0 to 1. */
        double capacityFraction() {
            return Math.min(1, allowance / Math.max(1, statistics.capacity()));
        }

        /** Returns the policy that decides whether a replica has a free slot for a tier. */
        SlotPolicy slotPolicy(final Tier tier) {
            return new SlotPolicy(
                    capacityFraction(),
                    tier == Tier.URGENT ? 0 : headroom / Math.max(1, allowance));
        }
    }

    Dispatcher(
            final StartedRequests started,
            final StreamPauser pauser,
            final Router router,
            final DecisionRecorder decisions) {
        mStarted = started;
        mPauser = pauser;
        mRouter = router;
        mDecisions = decisions;
    }

    /** Starts requests of a tier; returns false if some still wait for a free slot. */
    boolean serve(
            final Tier tier,
            final TierQueue queue,
            final Context context,
            final List<Directive> out) {
        mPauser.pausableBulkStreams(mStarted.running(Tier.BULK) - context.bulkMinimum());
        mStarted.resume(tier, limit(tier, context), context, out);
        while (true) {
            final TrackedRequest request = queue.peek(context.nowNanos());
            if (request == null) {
                return true;
            }
            if (!context.servable().test(request)) {
                park(queue, request, context, true);
                continue;
            }
            if (deferIfLate(queue, request, context.nowNanos())) {
                continue;
            }
            if ((tier == Tier.BULK && mStarted.hasResumable(tier))
                    || isBulkPrefillLimited(request, context)) {
                return false;
            }
            final boolean withinLimit = mStarted.running() < limit(tier, context);
            final ReplicaState replica =
                    mRouter.choose(
                            context.table(),
                            request,
                            context.slotPolicy(tier),
                            withinLimit ? Router.Mode.FREE_SLOT_OR_PAUSE : Router.Mode.PAUSE_ONLY,
                            mPauser,
                            context.nowNanos());
            if (replica == null) {
                if (mRouter.sawEligible() || !isConstrained(request)) {
                    return false;
                }
                park(queue, request, context, false);
                continue;
            }
            start(queue, request, replica, withinLimit, context, out);
        }
    }

    /** Starts or resumes a bulk stream, up to the minimum, although higher tiers wait. */
    void serveBulkMinimum(final TierQueue queue, final Context context, final List<Directive> out) {
        if (mStarted.running(Tier.BULK) >= context.bulkMinimum()
                || mStarted.resume(Tier.BULK, mStarted.running() + 1, context, out)) {
            return;
        }
        final TrackedRequest request = queue.peek(context.nowNanos());
        if (request == null || !context.servable().test(request)) {
            return;
        }
        final ReplicaState replica =
                mRouter.choose(
                        context.table(),
                        request,
                        context.slotPolicy(Tier.BULK),
                        Router.Mode.FREE_SLOT,
                        mPauser,
                        context.nowNanos());
        if (replica != null) {
            start(queue, request, replica, true, context, out);
        }
    }

    private int limit(final Tier tier, final Context context) {
        final boolean bulkBelowMinimum =
                context.bulkWaiting() + mStarted.started(Tier.BULK) > 0
                        && mStarted.running(Tier.BULK) < context.bulkMinimum();
        final int bulkMinimum = tier != Tier.BULK && bulkBelowMinimum ? context.bulkMinimum() : 0;
        final int headroom = tier == Tier.URGENT ? 0 : (int) Math.round(context.headroom());
        return Math.max(1, context.allowance() - bulkMinimum - headroom);
    }

    private boolean isBulkPrefillLimited(final TrackedRequest request, final Context context) {
        if (request.tier() != Tier.BULK || request.request().promptTokens() < LONG_PROMPT_TOKENS) {
            return false;
        }
        final double limit =
                BULK_PREFILL_SHARE * context.table().all().length * context.capacityFraction();
        return mStarted.bulkPrefills() >= Math.max(1, Math.round(limit));
    }

    /**
     * Defers a request that would now miss its objective or deadline, because responses of its tier
     * take longer than when it arrived. A bulk request that would end after its deadline is not
     * started at all.
     */
    private boolean deferIfLate(
            final TierQueue queue, final TrackedRequest request, final long nowNanos) {
        if (request.tier() == Tier.URGENT) {
            return false;
        }
        final long typicalEndNanos =
                nowNanos
                        + (long) (mStarted.slowdown(request.tier()) * request.mTypicalServiceNanos);
        final long longEndNanos =
                nowNanos + (long) (mStarted.slowdown(request.tier()) * request.mLongServiceNanos);
        if (request.tier() == Tier.BULK && longEndNanos > request.request().deadlineNanos()) {
            queue.park(request);
            return true;
        }
        if (request.mLatestObjectiveStartNanos > nowNanos
                && typicalEndNanos > request.objectiveDueNanos()) {
            queue.demote(request, nowNanos);
            return true;
        }
        return false;
    }

    private static boolean isConstrained(final TrackedRequest request) {
        return request.request().isolated() || !request.request().excludedReplicas().isEmpty();
    }

    private static void park(
            final TierQueue queue,
            final TrackedRequest request,
            final Context context,
            final boolean dependencyBlocked) {
        request.mDependencyBlocked = dependencyBlocked;
        queue.park(request);
        context.parked().add(request);
    }

    private void start(
            final TierQueue queue,
            final TrackedRequest request,
            final ReplicaState replica,
            final boolean withinLimit,
            final Context context,
            final List<Directive> out) {
        final long nowNanos = context.nowNanos();
        if (!withinLimit
                || !context.slotPolicy(request.tier()).admits(replica, request.tier(), nowNanos)) {
            final TrackedRequest streamToPause = mPauser.streamToPause(replica, request.tier());
            if (streamToPause != null) {
                mStarted.pause(streamToPause, nowNanos, out);
                mPauser.pausableBulkStreams(mStarted.running(Tier.BULK) - context.bulkMinimum());
            }
        }
        queue.remove(request);
        request.mDependencyBlocked = false;
        mStarted.start(request, replica, nowNanos);
        final String reason =
                "Shortest estimated response time of the replicas with room for the tier";
        out.add(new Directive.Dispatch(request.id(), replica.id(), reason));
        mDecisions.record(request.id(), Step.ROUTE, "dispatch", replica.id(), reason);
    }
}
