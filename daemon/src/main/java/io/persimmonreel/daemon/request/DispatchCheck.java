package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.daemon.upstream.UpstreamException;

/**
 * Checks a request after its connection is open and before its first byte is sent: marks it as
 * dispatched, refuses it, or returns it to the queue if nothing could be sent.
 */
final class DispatchCheck {
    private final RequestComponents mComponents;
    private final RequestFinisher mFinisher;
    private final CrashDetector mCrashDetector;

    DispatchCheck(
            final RequestComponents components,
            final RequestFinisher finisher,
            final CrashDetector crashDetector) {
        mComponents = components;
        mFinisher = finisher;
        mCrashDetector = crashDetector;
    }

    /**
     * Marks a request as dispatched if its deadline and its claim allow it. A dispatched request is
     * never queued again.
     *
     * @param request the request
     * @return true if the request may be sent
     */
    boolean tryDispatch(final ActiveRequest request) {
        mCrashDetector.onConnected(request.replica());
        final long now = mComponents.time().monotonicNanos();
        if (now - request.submission().deadlineNanos() >= 0) {
            mFinisher.refuse(
                    request,
                    ProblemType.DEADLINE_UNREACHABLE,
                    "the deadline passed before dispatch",
                    0,
                    Step.DISPATCH);
            return false;
        }
        if (!request.transition(RequestState.QUEUED, RequestState.DISPATCHED)) {
            return false;
        }
        if (request.submission().needsClaim()
                && !mComponents.claims().markDispatched(request.claimAttempt())) {
            mFinisher.failUnsent(request, "the claim was given up before the first byte");
            return false;
        }
        request.recordActivity(now);
        if (request.verdict() != null) {
            mComponents
                    .quarantine()
                    .onDispatched(request.verdict().fingerprint(), request.replica());
        }
        mFinisher.recordDecision(
                request, Step.DISPATCH, "dispatched", request.replica(), "first byte");
        return true;
    }

    /**
     * Returns a request to the queue after a connection attempt that sent no byte.
     *
     * @param request the request
     * @param failure the reason why nothing was sent
     */
    void requeue(final ActiveRequest request, final UpstreamException failure) {
        if (request.state() == RequestState.QUEUED) {
            mFinisher.recordDecision(
                    request, Step.CONNECT, "queued again", failure.replica(), failure.detail());
            mComponents
                    .scheduler()
                    .onFinished(
                            request.id(), Completion.NOT_SENT, mComponents.time().monotonicNanos());
        }
    }
}
