package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.daemon.upstream.PlainResponse;
import io.persimmonreel.daemon.upstream.UpstreamException;
import io.persimmonreel.daemon.upstream.UpstreamFault;
import java.time.Duration;
import java.util.concurrent.CompletionException;

/** Sends requests to plain services and ends them with the answer or failure. */
final class PlainDispatcher {
    /** An answer that comes up to this long after the deadline still shows that the request ran. */
    private static final Duration LATE_ANSWER_GRACE = Duration.ofSeconds(5);

    private final RequestComponents mComponents;
    private final RequestFinisher mFinisher;
    private final DispatchCheck mDispatchCheck;
    private final CrashDetector mCrashDetector;

    PlainDispatcher(
            final RequestComponents components,
            final RequestFinisher finisher,
            final DispatchCheck dispatchCheck,
            final CrashDetector crashDetector) {
        mComponents = components;
        mFinisher = finisher;
        mDispatchCheck = dispatchCheck;
        mCrashDetector = crashDetector;
    }

    /**
     * Connects to a replica and sends a queued request to it.
     *
     * @param request the request
     * @param replica the replica
     */
    void dispatch(final ActiveRequest request, final ReplicaSpec replica) {
        final Submission submission = request.submission();
        final long left = submission.deadlineNanos() - mComponents.time().monotonicNanos();
        request.assignReplica(replica.id(), null);
        mComponents
                .plainClient()
                .run(
                        replica,
                        submission.requestId(),
                        submission.key(),
                        submission.body(),
                        Duration.ofNanos(Math.max(0, left)).plus(LATE_ANSWER_GRACE),
                        () -> mDispatchCheck.tryDispatch(request))
                .whenComplete((answer, error) -> onEnd(request, replica, answer, error));
    }

    private void onEnd(
            final ActiveRequest request,
            final ReplicaSpec replica,
            final PlainResponse answer,
            final Throwable error) {
        if (error == null) {
            final Answer whole =
                    new Answer(answer.status(), answer.contentType(), answer.body(), -1, "");
            mFinisher.complete(request, whole);
            return;
        }
        final UpstreamException failure =
                (UpstreamException)
                        (error instanceof CompletionException ? error.getCause() : error);
        if (failure.fault() == UpstreamFault.NOT_SENT) {
            mDispatchCheck.requeue(request, failure);
            if (request.state() == RequestState.QUEUED) {
                mCrashDetector.onConnectionBroken(request, replica, false);
            }
            return;
        }
        if (failure.fault() == UpstreamFault.BROKEN) {
            mCrashDetector.onConnectionBroken(request, replica, true);
        }
        final ProblemType type =
                failure.fault() == UpstreamFault.REJECTED
                        ? ProblemType.UPSTREAM_FAILED
                        : ProblemType.OUTCOME_UNKNOWN;
        mFinisher.fail(request, type, failure, Completion.FAILED);
    }
}
