package io.persimmonreel.daemon.request;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.daemon.upstream.UpstreamException;
import java.util.function.Consumer;

/**
 * Ends requests and reports each end to the caller, the claim, the scheduler, the quarantine and
 * the decision log. A compare-and-set of the state makes sure that a request ends only once.
 */
final class RequestFinisher {
    private static final String PROBLEM_MEDIA_TYPE = "application/problem+json";

    private final RequestComponents mComponents;
    private final Consumer<ActiveRequest> mRemoveRequest;

    RequestFinisher(
            final RequestComponents components, final Consumer<ActiveRequest> removeRequest) {
        mComponents = components;
        mRemoveRequest = removeRequest;
    }

    /**
     * Refuses a request that was not dispatched.
     *
     * @param request the request
     * @param type the kind of refusal
     * @param detail the reason, one short sentence
     * @param retryAfterMillis the time after which the caller may try again, in milliseconds
     * @param step the step that refused
     * @return true if the request was refused, false if it was dispatched or has ended
     */
    boolean refuse(
            final ActiveRequest request,
            final ProblemType type,
            final String detail,
            final long retryAfterMillis,
            final Step step) {
        final RequestState from = request.transitionToFinal(RequestState.REFUSED);
        if (from == null) {
            return false;
        }
        if (from == RequestState.QUEUED) {
            mComponents.scheduler().cancel(request.id(), mComponents.time().monotonicNanos());
        }
        final Outcome outcome = renounce(request) ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN;
        final Problem problem =
                new Problem(type, detail, outcome, request.id(), retryAfterMillis, step, "");
        deliverProblem(request, problem);
        return true;
    }

    /**
     * Ends a request whose claim was refused.
     *
     * @param request the request
     * @param problem the refusal; its outcome says whether an earlier attempt may have run
     */
    void refuseClaim(final ActiveRequest request, final Problem problem) {
        if (request.transitionToFinal(RequestState.REFUSED) != null) {
            deliverProblem(request, problem);
        }
    }

    /**
     * Ends a request with the answer that an earlier request with the same identity received.
     *
     * @param request the request
     * @param answer the earlier answer
     */
    void replay(final ActiveRequest request, final Answer answer) {
        if (request.transitionToFinal(RequestState.DONE) != null) {
            recordDecision(
                    request, Step.CLAIM, "replayed", "", "an earlier request ran with this key");
            deliverAnswer(request, answer);
        }
    }

    /**
     * Ends a request with a complete answer from the upstream.
     *
     * @param request the request
     * @param answer the answer
     */
    void complete(final ActiveRequest request, final Answer answer) {
        if (request.transitionToFinal(RequestState.DONE) == null) {
            return;
        }
        final long now = mComponents.time().monotonicNanos();
        mComponents.scheduler().onFinished(request.id(), Completion.ANSWERED, now);
        finishClaim(request, Outcome.RAN, answer.status(), answer.contentType(), answer.body());
        reportToQuarantine(request, true, now);
        recordDecision(
                request, Step.ANSWER, "answered", request.replica(), "status " + answer.status());
        deliverAnswer(request, answer);
    }

    /**
     * Ends a dispatched request without an answer. The outcome is always "may have run", even if
     * the upstream reported an error.
     *
     * @param request the request
     * @param type the kind of failure
     * @param failure the failure
     * @param completion the completion reported to the scheduler, null if the scheduler has already
     *     dropped the request
     */
    void fail(
            final ActiveRequest request,
            final ProblemType type,
            final UpstreamException failure,
            final Completion completion) {
        final RequestState to =
                type == ProblemType.OUTCOME_UNKNOWN ? RequestState.UNKNOWN : RequestState.FAILED;
        if (request.transitionToFinal(to) == null) {
            return;
        }
        final long now = mComponents.time().monotonicNanos();
        if (completion != null) {
            mComponents.scheduler().onFinished(request.id(), completion, now);
        }
        reportToQuarantine(request, false, now);
        finishClaim(request, Outcome.MAY_HAVE_RUN, type.status(), PROBLEM_MEDIA_TYPE, new byte[0]);
        deliverProblem(
                request,
                new Problem(
                        type,
                        failure.detail(),
                        Outcome.MAY_HAVE_RUN,
                        request.id(),
                        0,
                        failure.step(),
                        failure.replica()));
    }

    /**
     * Ends a request that was marked as dispatched, but of which no byte was or will be sent.
     *
     * @param request the request
     * @param detail the reason, one short sentence
     */
    void failUnsent(final ActiveRequest request, final String detail) {
        if (request.transitionToFinal(RequestState.FAILED) == null) {
            return;
        }
        mComponents.scheduler().cancel(request.id(), mComponents.time().monotonicNanos());
        final Outcome outcome = renounce(request) ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN;
        final ProblemType type = ProblemType.DEADLINE_UNREACHABLE;
        deliverProblem(
                request, new Problem(type, detail, outcome, request.id(), 0, Step.DISPATCH, ""));
    }

    /**
     * Adds a record to the decision log.
     *
     * @param request the request
     * @param step the step at which the decision was made
     * @param decision what was decided
     * @param subject the replica or service that the decision is about, may be empty
     * @param reason the reason, one short sentence
     */
    void recordDecision(
            final ActiveRequest request,
            final Step step,
            final String decision,
            final String subject,
            final String reason) {
        mComponents
                .decisionLog()
                .add(
                        new DecisionRecord(
                                mComponents.time().wallMillis(),
                                request.id(),
                                step,
                                decision,
                                subject,
                                reason));
    }

    /**
     * Releases the claim of a request that was not sent. Returns true if the request certainly did
     * not run: it needs no claim, or it held a claim that was released before any dispatch.
     */
    private boolean renounce(final ActiveRequest request) {
        if (!request.submission().needsClaim()) {
            return true;
        }
        return request.claimAttempt() != ActiveRequest.NO_CLAIM_ATTEMPT
                && mComponents.claims().renounce(request.claimAttempt());
    }

    private void reportToQuarantine(
            final ActiveRequest request, final boolean succeeded, final long nowNanos) {
        if (request.verdict() != null) {
            mComponents
                    .quarantine()
                    .onCompleted(
                            request.verdict().fingerprint(),
                            request.replica(),
                            succeeded,
                            nowNanos);
        }
    }

    private void finishClaim(
            final ActiveRequest request,
            final Outcome outcome,
            final int status,
            final String contentType,
            final byte[] body) {
        if (request.claimAttempt() != ActiveRequest.NO_CLAIM_ATTEMPT) {
            mComponents.claims().finish(request.claimAttempt(), outcome, status, contentType, body);
        }
    }

    private void deliverAnswer(final ActiveRequest request, final Answer answer) {
        mRemoveRequest.accept(request);
        notifyObserver(request, true, Outcome.RAN, answer.status());
        if (!request.isCallerDisconnected()) {
            request.sink().onAnswer(answer);
        }
    }

    private void deliverProblem(final ActiveRequest request, final Problem problem) {
        mRemoveRequest.accept(request);
        recordDecision(
                request,
                problem.step(),
                problem.outcome() == Outcome.NOT_RUN ? "refused" : "failed",
                problem.peer(),
                problem.outcome().label() + ": " + problem.detail());
        notifyObserver(request, false, problem.outcome(), problem.type().status());
        if (!request.isCallerDisconnected()) {
            request.sink().onProblem(problem);
        }
    }

    private void notifyObserver(
            final ActiveRequest request,
            final boolean answered,
            final Outcome outcome,
            final int status) {
        final Submission submission = request.submission();
        final long now = mComponents.time().monotonicNanos();
        final long complete = now - submission.arrivalNanos();
        final long first = request.firstTokenNanos();
        final boolean dispatched = request.state() != RequestState.REFUSED;
        mComponents
                .observer()
                .onFinished(
                        new RequestSummary(
                                request.id(),
                                submission.customer(),
                                submission.service(),
                                submission.tier(),
                                request.isCallerDisconnected(),
                                answered,
                                outcome,
                                status,
                                first < 0 && answered ? complete : first,
                                complete,
                                request.answerBuffer().tokenCount(),
                                dispatched
                                        ? submission
                                                .input()
                                                .map(EngineInput::promptTokens)
                                                .orElse(0)
                                        : 0,
                                now));
    }
}
