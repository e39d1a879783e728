package io.persimmonreel.core.schedule;

import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Holds the scheduling state of one request. The scheduler's lock guards all fields but the token
 * count.
 */
final class TrackedRequest {
    /** Lists the states of a request. */
    enum Phase {
        QUEUED,
        RUNNING,
        PAUSED,
        BROKEN,
        ENDED
    }

    private final PendingRequest mRequest;
    private final ServiceSpec mService;
    private final UpstreamScheduler mUpstream;
    private final AtomicInteger mTokens = new AtomicInteger();

    Phase mPhase = Phase.QUEUED;
    ReplicaState mReplica;
    long mDispatchedNanos;
    long mFirstTokenNanos;
    boolean mHasFirstToken;
    long mPhaseSinceNanos;
    int mPauses;
    int mBreaks;
    int mExpectedOutput;
    int mUncachedTokens;

    /** The prompt tokens that waited at the replica before this request's own. */
    double mBacklogTokens;

    boolean mPrefillCounted;
    boolean mTooLateToStart;
    boolean mDependencyBlocked;
    long mLatestStartNanos;
    long mLatestObjectiveStartNanos;

    /** The tokens received before the request started or resumed last. */
    int mTokensAtStart;

    double mTypicalServiceNanos;

    /** The service time at an average replica if the output has its 0.9 quantile length. */
    double mLongServiceNanos;

    /** The latest start that meets the deadline at the fastest replica when idle. */
    long mLatestIdleStartNanos;

    TrackedRequest(
            final PendingRequest request,
            final ServiceSpec service,
            final UpstreamScheduler upstream) {
        mRequest = request;
        mService = service;
        mUpstream = upstream;
    }

    PendingRequest request() {
        return mRequest;
    }

    ServiceSpec service() {
        return mService;
    }

    UpstreamScheduler upstream() {
        return mUpstream;
    }

    String id() {
        return mRequest.requestId();
    }

    Tier tier() {
        return mRequest.tier();
    }

    AtomicInteger tokens() {
        return mTokens;
    }

    boolean isQueued() {
        return mPhase == Phase.QUEUED && !mTooLateToStart;
    }

    /**
     * Returns the estimated work of this request in output tokens, for fair sharing among
     * customers; a prompt token counts an eighth.
     */
    double cost() {
        return 1 + mExpectedOutput + mRequest.promptTokens() / 8.0;
    }

    int remainingOutput() {
        return Math.max(1, mExpectedOutput - mTokens.get());
    }

    long waitedNanos(final long nowNanos) {
        return nowNanos - mRequest.arrivalNanos();
    }

    long allowedNanos() {
        return mRequest.deadlineNanos() - mRequest.arrivalNanos();
    }

    long objectiveDueNanos() {
        return mRequest.arrivalNanos() + mService.objective().complete().toNanos();
    }

    /** Tells whether a stream has been paused longer than a third of the time to its deadline. */
    boolean isAged(final long nowNanos) {
        return mPhase == Phase.PAUSED && nowNanos - mPhaseSinceNanos > allowedNanos() / 3;
    }

    /**
     * Sets the latest starts that meet the deadline and the objective.
     *
     * @param bestServiceNanos the service time at the fastest replica when idle
     * @param typicalFirstTokenNanos the time to the first token at an average replica
     * @param typicalServiceNanos the service time at an average replica
     * @param slowdown the ratio of measured to planned response time, at least 1
     */
    void setLatestStarts(
            final double bestServiceNanos,
            final double typicalFirstTokenNanos,
            final double typicalServiceNanos,
            final double slowdown) {
        mTypicalServiceNanos = typicalServiceNanos;
        mLatestIdleStartNanos = mRequest.deadlineNanos() - (long) bestServiceNanos;
        mLatestStartNanos =
                mRequest.deadlineNanos()
                        - (long) Math.max(bestServiceNanos, (slowdown - 1) * typicalServiceNanos);
        final ObjectiveSpec objective = mService.objective();
        final long first = objective.firstToken().toNanos() - (long) typicalFirstTokenNanos;
        final long whole = objective.complete().toNanos() - (long) (slowdown * typicalServiceNanos);
        mLatestObjectiveStartNanos = mRequest.arrivalNanos() + Math.max(0, Math.min(first, whole));
    }
}
