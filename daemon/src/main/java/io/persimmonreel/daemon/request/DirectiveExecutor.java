package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.daemon.request.RequestCoordinator.ReplicaFinder;
import io.persimmonreel.daemon.upstream.UpstreamException;
import io.persimmonreel.daemon.upstream.UpstreamFault;
import java.util.Optional;
import java.util.function.Function;

/** Polls the scheduler and executes its directives, on the thread of the poll loop. */
final class DirectiveExecutor {
    private final RequestComponents mComponents;
    private final RequestFinisher mFinisher;
    private final EngineDispatcher mEngineDispatcher;
    private final PlainDispatcher mPlainDispatcher;
    private final ReplicaFinder mReplicas;
    private final Function<String, ActiveRequest> mActiveRequests;
    private final StallDetector mStallDetector;

    DirectiveExecutor(
            final RequestComponents components,
            final RequestFinisher finisher,
            final EngineDispatcher engineDispatcher,
            final PlainDispatcher plainDispatcher,
            final ReplicaFinder replicas,
            final Function<String, ActiveRequest> activeRequests,
            final StallDetector stallDetector) {
        mComponents = components;
        mFinisher = finisher;
        mEngineDispatcher = engineDispatcher;
        mPlainDispatcher = plainDispatcher;
        mReplicas = replicas;
        mActiveRequests = activeRequests;
        mStallDetector = stallDetector;
    }

    /** Polls the scheduler once, executes the directives and checks for stalled requests. */
    void run() {
        final long now = mComponents.time().monotonicNanos();
        for (final Directive directive : mComponents.scheduler().poll(now)) {
            execute(directive);
        }
        mStallDetector.check(now);
    }

    /**
     * Ends a dispatched stream whose caller disconnected.
     *
     * @param request the request
     * @param detail the reason, one short sentence
     */
    void cancelDispatched(final ActiveRequest request, final String detail) {
        failDispatched(request, ProblemType.UPSTREAM_FAILED, detail, Completion.CANCELLED);
    }

    private void execute(final Directive directive) {
        if (directive instanceof Directive.Publish publish) {
            mComponents.shedNoticePublisher().accept(publish.notice());
        } else if (directive instanceof Directive.Dispatch dispatch) {
            onDispatch(dispatch);
        } else if (directive instanceof Directive.Refuse refuse) {
            onRefuse(refuse);
        } else if (directive instanceof Directive.Pause pause) {
            final ActiveRequest request = mActiveRequests.apply(pause.requestId());
            if (request != null) {
                mFinisher.recordDecision(
                        request, Step.STREAM, "paused", pause.replica(), "a higher tier");
                mReplicas
                        .find(pause.replica())
                        .ifPresent(replica -> mEngineDispatcher.pause(request, replica));
            }
        } else if (directive instanceof Directive.Resume resume) {
            onResume(resume);
        }
    }

    private void onDispatch(final Directive.Dispatch dispatch) {
        final ActiveRequest request = mActiveRequests.apply(dispatch.requestId());
        final Optional<ReplicaSpec> replica = mReplicas.find(dispatch.replica());
        if (request == null || request.state() == RequestState.REFUSED) {
            // The request ended after the scheduler decided; release the slot it reserved.
            mComponents
                    .scheduler()
                    .cancel(dispatch.requestId(), mComponents.time().monotonicNanos());
            return;
        }
        mFinisher.recordDecision(
                request, Step.ROUTE, "routed", dispatch.replica(), dispatch.reason());
        if (replica.isEmpty()) {
            mComponents
                    .scheduler()
                    .onFinished(
                            request.id(), Completion.NOT_SENT, mComponents.time().monotonicNanos());
        } else if (RequestCoordinator.isEngine(request)) {
            mEngineDispatcher.dispatch(request, replica.get());
        } else {
            mPlainDispatcher.dispatch(request, replica.get());
        }
    }

    private void onRefuse(final Directive.Refuse refuse) {
        final ActiveRequest request = mActiveRequests.apply(refuse.requestId());
        if (request != null
                && !mFinisher.refuse(
                        request,
                        refuse.type(),
                        refuse.detail(),
                        refuse.retryAfterMillis(),
                        Step.QUEUE)) {
            failDispatched(request, ProblemType.OUTCOME_UNKNOWN, refuse.detail(), null);
        }
    }

    private void onResume(final Directive.Resume resume) {
        final ActiveRequest request = mActiveRequests.apply(resume.requestId());
        if (request == null) {
            return;
        }
        final Optional<ReplicaSpec> from =
                resume.importFrom().isEmpty()
                        ? Optional.empty()
                        : mReplicas.find(resume.importFrom());
        mReplicas
                .find(resume.replica())
                .ifPresent(replica -> mEngineDispatcher.resume(request, replica, from));
    }

    private void failDispatched(
            final ActiveRequest request,
            final ProblemType type,
            final String detail,
            final Completion completion) {
        final Optional<ReplicaSpec> replica = mReplicas.find(request.replica());
        mFinisher.fail(
                request,
                type,
                new UpstreamException(Step.STREAM, request.replica(), UpstreamFault.BROKEN, detail),
                completion);
        if (RequestCoordinator.isEngine(request)) {
            replica.ifPresent(each -> mEngineDispatcher.cancel(request, each));
        }
    }
}
