package io.persimmonreel.core.schedule;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.TrackedRequest.Phase;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Schedules the requests of one upstream on this daemon. Callers hold the scheduler's lock. */
final class UpstreamScheduler {
    private static final Tier[] TIERS = Tier.values();
    private static final long REFRESH_INTERVAL_NANOS = 100_000_000L;

    /** Statistics over more replicas are refreshed less often, so that each poll stays cheap. */
    private static final int REPLICAS_PER_REFRESH = 64;

    private static final double DEMAND_TIME_CONSTANT_NANOS = 0.7e9;
    private static final int MAXIMUM_WAITING_IN_DEMAND = 64;

    /** By tier. Lower tiers weigh less, so that a bulk backlog takes no slots from urgent work. */
    private static final double[] DEMAND_WEIGHTS = {1, 0.8, 0.6, 0.02};

    /** A tier lacks capacity if a request waits longer than its allowed time divided by this. */
    private static final int THRESHOLD_WAIT_DIVISOR = 10;

    private final String mId;
    private final Incarnation mSelf;
    private final DecisionRecorder mDecisions;
    private final RetryPolicy mRetries;
    private final CapacityShare mShare;
    private final SheddingThreshold mSheddingThreshold;
    private final UrgentHeadroom mHeadroom = new UrgentHeadroom();
    private final PeerLoadTotals mPeers = new PeerLoadTotals();
    private final UpstreamStatistics mStatistics;
    private final StartedRequests mStarted;
    private final Dispatcher mDispatcher;
    private final TierQueue[] mQueues = new TierQueue[Tier.values().length];
    private final List<TrackedRequest> mParked = new ArrayList<>();
    private final Map<String, Integer> mCustomerShares = new HashMap<>();
    private volatile ReplicaTable mTable;
    private Predicate<TrackedRequest> mDependenciesServable = request -> true;
    private int mMaximumDaemons = 1;
    private double mDemand;
    private int mAllowance = 1;
    private long mRefreshedNanos = Long.MIN_VALUE;
    private long mStatisticsNanos;
    private boolean mStatisticsStale = true;
    private volatile boolean mServable;

    UpstreamScheduler(
            final UpstreamSpec spec,
            final Incarnation self,
            final SplittableRandom random,
            final DecisionRecorder decisions) {
        mId = spec.id();
        mSelf = self;
        mDecisions = decisions;
        mRetries = new RetryPolicy(random.split());
        mShare = new CapacityShare(self);
        mSheddingThreshold = new SheddingThreshold(mId);
        mStatistics = new UpstreamStatistics(spec.kind());
        final StreamPauser pauser = new StreamPauser(spec.kind());
        final Router router = new Router(spec.kind(), random.split());
        mStarted = new StartedRequests(spec.kind(), pauser, router, mHeadroom, decisions);
        mDispatcher = new Dispatcher(mStarted, pauser, router, decisions);
        for (int i = 0; i < mQueues.length; i++) {
            mQueues[i] = new TierQueue(customer -> mCustomerShares.getOrDefault(customer, 1));
        }
    }

    void configure(
            final Configuration configuration,
            final UpstreamSpec spec,
            final Predicate<TrackedRequest> dependenciesServable) {
        mTable = new ReplicaTable(spec.replicas(), mTable, mSelf.id());
        mCustomerShares.clear();
        configuration.customers().values().forEach(c -> mCustomerShares.put(c.id(), c.share()));
        mMaximumDaemons = configuration.fleet().maximumDaemons();
        mDependenciesServable = dependenciesServable;
        mRefreshedNanos = Long.MIN_VALUE;
        mStatisticsStale = true;
    }

    String id() {
        return mId;
    }

    ReplicaTable table() {
        return mTable;
    }

    StartedRequests startedRequests() {
        return mStarted;
    }

    RetryPolicy retries() {
        return mRetries;
    }

    CapacityShare share() {
        return mShare;
    }

    SheddingThreshold sheddingThreshold() {
        return mSheddingThreshold;
    }

    boolean isServable() {
        return mServable;
    }

    /** Tells whether a replica is up and typically sends a first token within this time. */
    boolean isServableWithin(final double nanos) {
        return mServable && mStatistics.typicalFirstTokenNanos(1) <= nanos;
    }

    void onPeer(final Incarnation from, final PeerLoad load) {
        mShare.onPeer(from, load.demand());
        mPeers.update(from, load, mTable);
    }

    void onMembers(final List<Incarnation> live, final int unconfirmed, final long nowNanos) {
        mShare.onMembers(live, unconfirmed, nowNanos);
        mPeers.retain(live, mTable);
        mRefreshedNanos = Math.min(mRefreshedNanos, nowNanos - REFRESH_INTERVAL_NANOS);
    }

    /** Queues a request, or returns a refusal if it can't meet its deadline or a queue is full. */
    Optional<Directive> offer(
            final TrackedRequest request,
            final OutputLengthPredictor lengths,
            final long nowNanos) {
        refresh(nowNanos);
        planStart(request, lengths);
        final TierQueue queue = mQueues[request.tier().ordinal()];
        if (mStatistics.servableReplicas() > 0 && request.mLatestIdleStartNanos < nowNanos) {
            return refusal(
                    request,
                    ProblemType.DEADLINE_UNREACHABLE,
                    "The fastest replica needs more than the remaining time");
        }
        if (queue.isFullFor(request.request().customer())) {
            return refusal(request, ProblemType.QUOTA_EXCEEDED, "The customer's queue is full");
        }
        if (queue.isFull() && mayRefuse(request.tier(), nowNanos)) {
            return refusal(request, ProblemType.NO_CAPACITY, "The queue is full");
        }
        mRetries.onRequest();
        if (request.tier() == Tier.URGENT) {
            mHeadroom.onArrival(nowNanos);
        }
        queue.add(request, nowNanos);
        return Optional.empty();
    }

    private void planStart(final TrackedRequest request, final OutputLengthPredictor lengths) {
        final PendingRequest pending = request.request();
        final int maximum = pending.maximumOutputTokens();
        request.mExpectedOutput = lengths.expected(pending.service(), pending.customer(), maximum);
        final int uncachedTokens = Math.max(0, pending.promptTokens() - pending.prefixTokens());
        request.mLongServiceNanos =
                mStatistics.typicalServiceNanos(
                        uncachedTokens,
                        lengths.quantile(pending.service(), pending.customer(), maximum));
        request.setLatestStarts(
                mStatistics.bestServiceNanos(uncachedTokens, request.mExpectedOutput),
                mStatistics.typicalFirstTokenNanos(uncachedTokens),
                mStatistics.typicalServiceNanos(uncachedTokens, request.mExpectedOutput),
                mStarted.slowdown(request.tier()));
    }

    /** Queues a request again whose dispatch was not sent. */
    void requeue(final TrackedRequest request, final long nowNanos) {
        request.mPhase = Phase.QUEUED;
        mQueues[request.tier().ordinal()].add(request, nowNanos);
    }

    /** Drops a queued request that was cancelled or refused. */
    void dropQueued(final TrackedRequest request) {
        request.mPhase = Phase.ENDED;
        mQueues[request.tier().ordinal()].removeFromCounts(request);
    }

    void poll(final long nowNanos, final List<Directive> out) {
        refresh(nowNanos);
        Tier threshold = mSheddingThreshold.inForce(nowNanos);
        if (threshold != null) {
            mStarted.pauseBelow(threshold, nowNanos, out);
        }
        mStarted.endUnresumable(nowNanos, out);
        boolean slotsLeft = true;
        Dispatcher.Context context = context(threshold, nowNanos);
        for (final Tier tier : TIERS) {
            final TierQueue queue = mQueues[tier.ordinal()];
            final boolean shed = threshold != null && threshold.isHigherThan(tier);
            if (slotsLeft && !shed) {
                slotsLeft = mDispatcher.serve(tier, queue, context, out);
            } else if (tier == Tier.BULK && threshold == null) {
                mDispatcher.serveBulkMinimum(queue, context, out);
            }
            if (queue.size() > 0) {
                raiseThresholdOnLongWait(tier, queue, nowNanos, out);
                refuseTooLate(tier, queue, nowNanos, out);
                final Tier raised = mSheddingThreshold.inForce(nowNanos);
                if (raised != threshold) {
                    threshold = raised;
                    context = context(threshold, nowNanos);
                }
            }
        }
    }

    private Dispatcher.Context context(final Tier threshold, final long nowNanos) {
        return new Dispatcher.Context(
                mTable,
                mStatistics,
                mAllowance,
                mHeadroom.slots(mStarted.running(Tier.URGENT), mAllowance, nowNanos),
                threshold,
                mQueues[Tier.BULK.ordinal()].size(),
                mDependenciesServable,
                mParked,
                nowNanos);
    }

    private void raiseThresholdOnLongWait(
            final Tier tier,
            final TierQueue queue,
            final long nowNanos,
            final List<Directive> out) {
        if (tier == Tier.BULK) {
            return;
        }
        final TrackedRequest oldest = queue.oldest();
        if (oldest != null
                && oldest.waitedNanos(nowNanos) > oldest.allowedNanos() / THRESHOLD_WAIT_DIVISOR) {
            raiseThreshold(tier, nowNanos, out);
        }
    }

    private void raiseThreshold(final Tier tier, final long nowNanos, final List<Directive> out) {
        final Tier present = mSheddingThreshold.inForce(nowNanos);
        if (present != null
                && present.isHigherThan(tier)
                && mSheddingThreshold.own(nowNanos).isPresent()) {
            return;
        }
        final Optional<ShedNotice> notice = mSheddingThreshold.raise(tier, nowNanos);
        notice.ifPresent(published -> out.add(new Directive.Publish(published)));
        mStarted.pauseBelow(tier, nowNanos, out);
    }

    private void refuseTooLate(
            final Tier tier,
            final TierQueue queue,
            final long nowNanos,
            final List<Directive> out) {
        TrackedRequest request = queue.tooLateToStart(nowNanos);
        while (request != null) {
            final boolean late = request.request().deadlineNanos() <= nowNanos;
            if (!late && !mayRefuse(tier, nowNanos)) {
                request.mTooLateToStart = true;
                raiseThreshold(tier, nowNanos, out);
                return;
            }
            dropQueued(request);
            mParked.remove(request);
            refusal(
                            request,
                            request.mDependencyBlocked
                                    ? ProblemType.DEPENDENCY_UNAVAILABLE
                                    : ProblemType.NO_CAPACITY,
                            "No replica has room before the deadline")
                    .ifPresent(out::add);
            request = queue.tooLateToStart(nowNanos);
        }
    }

    /** Tells whether a tier may be refused for lack of capacity: only while no lower tier runs. */
    private boolean mayRefuse(final Tier tier, final long nowNanos) {
        return tier == Tier.BULK
                || (mSheddingThreshold.isRefusalAllowed(tier, nowNanos)
                        && !mStarted.isLowerTierRunning(tier));
    }

    private Optional<Directive> refusal(
            final TrackedRequest request, final ProblemType type, final String detail) {
        double work = 0;
        for (int i = 0; i <= request.tier().ordinal(); i++) {
            work += mQueues[i].size();
        }
        final double drainNanos = mStarted.drainNanos(work, mAllowance);
        mDecisions.record(request.id(), Step.ADMIT, "refuse", request.service().id(), detail);
        return Optional.of(
                new Directive.Refuse(
                        request.id(), type, detail, mRetries.retryAfterMillis(drainNanos)));
    }

    private void refresh(final long nowNanos) {
        if (mRefreshedNanos != Long.MIN_VALUE
                && nowNanos - mRefreshedNanos < REFRESH_INTERVAL_NANOS) {
            return;
        }
        final double passed =
                mRefreshedNanos == Long.MIN_VALUE
                        ? REFRESH_INTERVAL_NANOS
                        : nowNanos - mRefreshedNanos;
        mRefreshedNanos = nowNanos;
        final int replicas = mTable.subset().length;
        final long interval = REFRESH_INTERVAL_NANOS * Math.max(1, replicas / REPLICAS_PER_REFRESH);
        if (mStatisticsStale || nowNanos - mStatisticsNanos >= interval) {
            mStatisticsStale = false;
            mStatisticsNanos = nowNanos;
            mStatistics.refresh(mTable, nowNanos);
            mServable = mStatistics.servableReplicas() > 0;
        }
        mDemand +=
                (1 - Math.exp(-passed / DEMAND_TIME_CONSTANT_NANOS)) * (currentDemand() - mDemand);
        mAllowance = mShare.allowance(mStatistics.capacity(), mDemand, mMaximumDaemons, nowNanos);
        // Parked requests are considered again.
        for (final TrackedRequest parked : mParked) {
            if (parked.isQueued()) {
                mQueues[parked.tier().ordinal()].removeFromCounts(parked);
                mQueues[parked.tier().ordinal()].add(parked, nowNanos);
            }
        }
        mParked.clear();
    }

    /** Returns the started and waiting requests, weighted by tier; a long queue is capped. */
    private double currentDemand() {
        double demand = 0;
        for (final Tier tier : Tier.values()) {
            final int waiting = Math.min(MAXIMUM_WAITING_IN_DEMAND, mQueues[tier.ordinal()].size());
            demand += DEMAND_WEIGHTS[tier.ordinal()] * (waiting + mStarted.started(tier));
        }
        return demand;
    }

    /** Updates the statistics at once after a replica's state changed. */
    void onReplicaChanged(final long nowNanos) {
        mStatisticsStale = true;
        mRefreshedNanos = Math.min(mRefreshedNanos, nowNanos - REFRESH_INTERVAL_NANOS);
        refresh(nowNanos);
    }

    PeerLoad load() {
        final List<String> replicas = new ArrayList<>();
        final List<Integer> inFlight = new ArrayList<>();
        final List<Integer> prefill = new ArrayList<>();
        for (final ReplicaState replica : mTable.subset()) {
            if (replica.ownInFlight() > 0) {
                replicas.add(replica.id());
                inFlight.add(replica.ownInFlight());
                prefill.add(replica.ownPrefillTokens());
            }
        }
        return new PeerLoad(mId, mDemand, replicas, inFlight, prefill);
    }

    /** Refuses a waiting request whose service was removed. */
    void refuseRemoved(final TrackedRequest request, final List<Directive> out) {
        dropQueued(request);
        final ServiceSpec service = request.service();
        refusal(request, ProblemType.UNKNOWN_SERVICE, service.id() + " was removed")
                .ifPresent(out::add);
    }
}
