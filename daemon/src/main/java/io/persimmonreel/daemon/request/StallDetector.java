package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.daemon.request.RequestCoordinator.ReplicaFinder;
import io.persimmonreel.daemon.upstream.UpstreamException;
import io.persimmonreel.daemon.upstream.UpstreamFault;
import java.util.Collection;
import java.util.function.Supplier;

/**
 * Refuses requests that are past their deadline without dispatch, and resumes or ends streams that
 * stopped delivering tokens. No other event ends these. Runs on the thread of the poll loop.
 */
final class StallDetector {
    private static final long CHECK_INTERVAL_NANOS = 100_000_000L;

    /** Tokens come about every 30 ms; a stream without a token for this long has stalled. */
    static final long STALL_TIMEOUT_NANOS = 10_000_000_000L;

    /** The scheduler and the claims end requests at their deadline; this catches what they miss. */
    static final long DEADLINE_GRACE_NANOS = 2_000_000_000L;

    /**
     * A stream that still delivers tokens may end after its deadline; a silent one is ended this
     * long after the deadline.
     */
    static final long STREAM_DEADLINE_GRACE_NANOS = 30_000_000_000L;

    private final RequestFinisher mFinisher;
    private final EngineDispatcher mEngineDispatcher;
    private final ReplicaFinder mReplicas;
    private final Supplier<Collection<ActiveRequest>> mActiveRequests;
    private long mLastCheckNanos;

    StallDetector(
            final RequestFinisher finisher,
            final EngineDispatcher engineDispatcher,
            final ReplicaFinder replicas,
            final Supplier<Collection<ActiveRequest>> activeRequests) {
        mFinisher = finisher;
        mEngineDispatcher = engineDispatcher;
        mReplicas = replicas;
        mActiveRequests = activeRequests;
    }

    /**
     * Checks all requests; does nothing if the last check was less than 100 ms ago.
     *
     * @param nowNanos the present monotonic time
     */
    void check(final long nowNanos) {
        if (nowNanos - mLastCheckNanos < CHECK_INTERVAL_NANOS) {
            return;
        }
        mLastCheckNanos = nowNanos;
        for (final ActiveRequest request : mActiveRequests.get()) {
            final long overdueNanos = nowNanos - request.submission().deadlineNanos();
            if (!request.isInFlight()) {
                refuseOverdue(request, overdueNanos);
            } else if (RequestCoordinator.isEngine(request)) {
                checkStream(request, overdueNanos, nowNanos);
            }
        }
    }

    private void refuseOverdue(final ActiveRequest request, final long overdueNanos) {
        if (overdueNanos > DEADLINE_GRACE_NANOS) {
            final boolean claiming = request.state() == RequestState.CLAIMING;
            mFinisher.refuse(
                    request,
                    claiming ? ProblemType.CLAIM_UNAVAILABLE : ProblemType.DEADLINE_UNREACHABLE,
                    "the deadline passed",
                    0,
                    claiming ? Step.CLAIM : Step.QUEUE);
        }
    }

    private void checkStream(
            final ActiveRequest request, final long overdueNanos, final long nowNanos) {
        final boolean silent = nowNanos - request.lastActivityNanos() > STALL_TIMEOUT_NANOS;
        if (!silent) {
            return;
        }
        if (overdueNanos > STREAM_DEADLINE_GRACE_NANOS) {
            final UpstreamException failure =
                    new UpstreamException(
                            Step.STREAM,
                            request.replica(),
                            UpstreamFault.BROKEN,
                            "no token came until long after the deadline");
            mFinisher.fail(request, ProblemType.OUTCOME_UNKNOWN, failure, Completion.FAILED);
            mReplicas
                    .find(request.replica())
                    .ifPresent(replica -> mEngineDispatcher.cancel(request, replica));
        } else if (!request.isPaused()
                && (request.answerBuffer().tokenCount() > 0 || overdueNanos > 0)) {
            request.recordActivity(nowNanos);
            mReplicas
                    .find(request.replica())
                    .ifPresent(replica -> mEngineDispatcher.onStalled(request, replica));
        }
    }
}
