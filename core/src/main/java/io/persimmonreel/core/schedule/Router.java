package io.persimmonreel.core.schedule;

import io.persimmonreel.core.service.UpstreamKind;
import java.util.SplittableRandom;

/**
 * Chooses the replica with the shortest estimated time to the first token and to the whole
 * response. Callers hold the scheduler's lock. The scratch arrays avoid allocation per decision.
 */
final class Router {
    /** Up to this many replicas are all compared; of a larger number, only random samples. */
    private static final int COMPARE_ALL_UP_TO = 16;

    private static final int SAMPLE_SIZE = 8;

    /** Maximum number of samples that are drawn until one has a replica that may be chosen. */
    private static final int MAXIMUM_SAMPLES = 4;

    /**
     * Scores within 10% of the best count as equal, since load reports are too old for finer
     * differences.
     */
    private static final double TIE_FACTOR = 1.1;

    private static final double PAUSE_COST_NANOS = 20e6;
    private static final double OBJECTIVE_MISSED_FACTOR = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final UpstreamKind mKind;
    private final SplittableRandom mRandom;
    private final ReplicaState[] mCandidates = new ReplicaState[COMPARE_ALL_UP_TO];
    private final double[] mScores = new double[COMPARE_ALL_UP_TO];
    private ReplicaState mLastPrefixReplica;
    private long mLastPrefix;
    private boolean mSawEligible;

    Router(final UpstreamKind kind, final SplittableRandom random) {
        mKind = kind;
        mRandom = random;
    }

    /** Selects the replicas that may be chosen. */
    enum Mode {
        /** Replicas with a free slot. */
        FREE_SLOT,
        /** Replicas with a free slot, or with a stream that may be paused. */
        FREE_SLOT_OR_PAUSE,
        /** Replicas with a stream that may be paused. */
        PAUSE_ONLY
    }

    /**
     * Chooses a replica.
     *
     * @param table the replicas
     * @param request the request
     * @param slotPolicy decides whether a replica has a free slot
     * @param mode which replicas may be chosen
     * @param pauser tells which streams may be paused
     * @param nowNanos the present time
     * @return the replica, or null if none may be chosen
     */
    ReplicaState choose(
            final ReplicaTable table,
            final TrackedRequest request,
            final SlotPolicy slotPolicy,
            final Mode mode,
            final StreamPauser pauser,
            final long nowNanos) {
        final ReplicaState[] subset = table.subset();
        mSawEligible = false;
        if (subset.length <= COMPARE_ALL_UP_TO) {
            return best(request, subset, subset.length, slotPolicy, mode, pauser, nowNanos);
        }
        for (int attempt = 0; attempt < MAXIMUM_SAMPLES; attempt++) {
            final int count = sample(subset, request);
            final ReplicaState found =
                    best(request, mCandidates, count, slotPolicy, mode, pauser, nowNanos);
            if (found != null) {
                remember(request, found);
                return found;
            }
        }
        return null;
    }

    /** Tells whether the last choice found a replica that may run the request, full or not. */
    boolean sawEligible() {
        return mSawEligible;
    }

    private int sample(final ReplicaState[] subset, final TrackedRequest request) {
        for (int i = 0; i < SAMPLE_SIZE; i++) {
            mCandidates[i] = subset[mRandom.nextInt(subset.length)];
        }
        final long hash = request.request().prefixHash();
        if (hash != 0 && hash == mLastPrefix) {
            mCandidates[SAMPLE_SIZE - 1] = mLastPrefixReplica;
        }
        return SAMPLE_SIZE;
    }

    private void remember(final TrackedRequest request, final ReplicaState found) {
        if (request.request().prefixHash() != 0) {
            mLastPrefix = request.request().prefixHash();
            mLastPrefixReplica = found;
        }
    }

    private ReplicaState best(
            final TrackedRequest request,
            final ReplicaState[] candidates,
            final int count,
            final SlotPolicy slotPolicy,
            final Mode mode,
            final StreamPauser pauser,
            final long nowNanos) {
        double best = Double.MAX_VALUE;
        for (int i = 0; i < count; i++) {
            final ReplicaState replica = candidates[i];
            mScores[i] = Double.MAX_VALUE;
            if (isEligible(replica, request, nowNanos)) {
                mSawEligible = true;
                final boolean free =
                        mode != Mode.PAUSE_ONLY
                                && slotPolicy.admits(replica, request.tier(), nowNanos);
                if (free
                        || (mode != Mode.FREE_SLOT
                                && pauser.streamToPause(replica, request.tier()) != null)) {
                    mScores[i] = score(replica, request, nowNanos) + (free ? 0 : PAUSE_COST_NANOS);
                    best = Math.min(best, mScores[i]);
                }
            }
        }
        return best == Double.MAX_VALUE ? null : pick(candidates, count, best * TIE_FACTOR);
    }

    private ReplicaState pick(
            final ReplicaState[] candidates, final int count, final double limit) {
        ReplicaState chosen = null;
        int ties = 0;
        for (int i = 0; i < count; i++) {
            if (mScores[i] <= limit) {
                ties++;
                if (ties == 1 || mRandom.nextInt(ties) == 0) {
                    chosen = candidates[i];
                }
            }
        }
        return chosen;
    }

    private static boolean isEligible(
            final ReplicaState replica, final TrackedRequest request, final long nowNanos) {
        return replica.acceptsWork(nowNanos)
                && (request.request().excludedReplicas().isEmpty()
                        || !request.request().excludedReplicas().contains(replica.id()))
                && !(request.request().isolated() && replica.runsIsolated());
    }

    /** Returns the prompt tokens that the replica must process because they are not cached. */
    static int uncachedPromptTokens(final ReplicaState replica, final PendingRequest request) {
        return replica.prefixes().contains(request.prefixHash())
                ? Math.max(1, request.promptTokens() - request.prefixTokens())
                : Math.max(1, request.promptTokens());
    }

    /**
     * Returns the estimated time to the first token plus the time to the whole response. Failures
     * and a missed objective raise the score; lower is better.
     */
    double score(final ReplicaState replica, final TrackedRequest request, final long nowNanos) {
        final SpeedEstimate speed = replica.speed();
        final double remainingNanos = Math.max(0, request.request().deadlineNanos() - nowNanos);
        final double failureNanos = speed.failureRate() * remainingNanos;
        if (mKind == UpstreamKind.PLAIN) {
            final double busy = replica.occupancy(nowNanos) / replica.limit(nowNanos);
            return speed.latencyNanos() * (1 + busy) + failureNanos;
        }
        final double tokens =
                replica.backlogTokens(nowNanos) + uncachedPromptTokens(replica, request.request());
        final double firstNanos = tokens * NANOS_PER_SECOND / speed.prefillTokensPerSecond();
        final double wholeNanos = firstNanos + request.remainingOutput() * speed.nanosPerToken();
        double score = firstNanos + wholeNanos + failureNanos;
        final long waitedNanos = request.waitedNanos(nowNanos);
        if (waitedNanos + firstNanos > request.service().objective().firstToken().toNanos()
                || waitedNanos + wholeNanos > request.service().objective().complete().toNanos()
                || speed.nanosPerToken()
                        > request.service().objective().betweenTokens().toNanos()) {
            score *= OBJECTIVE_MISSED_FACTOR;
        }
        return score;
    }
}
