package io.persimmonreel.daemon.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.order.ReportedModel;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.daemon.upstream.StreamCall;
import io.persimmonreel.daemon.upstream.StreamListener;
import io.persimmonreel.daemon.upstream.StreamRequest;
import io.persimmonreel.daemon.upstream.UpstreamException;
import io.persimmonreel.daemon.upstream.UpstreamFault;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/** Opens, pauses, resumes and cancels streams at engines and collects their tokens. */
final class EngineDispatcher {
    /**
     * A stream that breaks more often is ended, so that a faulty engine cannot prolong it forever.
     */
    static final int MAXIMUM_RESUMES = 8;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RequestComponents mComponents;
    private final RequestFinisher mFinisher;
    private final DispatchCheck mDispatchCheck;
    private final CrashDetector mCrashDetector;
    private final Supplier<Collection<ActiveRequest>> mActiveRequests;

    EngineDispatcher(
            final RequestComponents components,
            final RequestFinisher finisher,
            final DispatchCheck dispatchCheck,
            final CrashDetector crashDetector,
            final Supplier<Collection<ActiveRequest>> activeRequests) {
        mComponents = components;
        mFinisher = finisher;
        mDispatchCheck = dispatchCheck;
        mCrashDetector = crashDetector;
        mActiveRequests = activeRequests;
    }

    /**
     * Connects to a replica and sends a queued request to it.
     *
     * @param request the request
     * @param replica the replica
     */
    void dispatch(final ActiveRequest request, final ReplicaSpec replica) {
        final Submission submission = request.submission();
        final EngineInput input = submission.input().orElseThrow();
        final Optional<ReportedModel> model = mComponents.reportedModels().apply(replica.id());
        final StreamRequest streamRequest =
                new StreamRequest(
                        request.id(),
                        model.map(ReportedModel::model).orElse(submission.upstream().model()),
                        model.map(ReportedModel::modelVersion)
                                .orElse(submission.upstream().modelVersion()),
                        input.prompt(),
                        input.promptTokens(),
                        input.prefixHash(),
                        input.maxOutputTokens());
        request.assignReplica(replica.id(), null);
        final Connection connection = new Connection(request, replica, false);
        final StreamCall call =
                mComponents
                        .engineClient()
                        .open(
                                replica,
                                streamRequest,
                                () -> mDispatchCheck.tryDispatch(request),
                                connection);
        connection.attach(call);
    }

    /**
     * Pauses a stream. Tokens that arrive before the engine confirms the pause are kept.
     *
     * @param request the request
     * @param replica the replica that runs it
     */
    void pause(final ActiveRequest request, final ReplicaSpec replica) {
        if (!request.isInFlight()) {
            return;
        }
        request.setPaused(true);
        request.enqueueControlCall(
                () ->
                        mComponents
                                .engineClient()
                                .pause(replica, request.id())
                                .whenComplete(
                                        (done, error) -> {
                                            request.setPaused(error == null);
                                            if (error == null) {
                                                request.abort();
                                            }
                                        }));
    }

    /**
     * Resumes a paused or broken stream at the same replica, or at another one after transferring
     * its KV cache.
     *
     * @param request the request
     * @param replica the replica that continues the stream
     * @param importFrom the replica whose KV cache is imported, empty to resume at the same replica
     */
    void resume(
            final ActiveRequest request,
            final ReplicaSpec replica,
            final Optional<ReplicaSpec> importFrom) {
        request.enqueueControlCall(
                () -> {
                    if (!request.isInFlight()) {
                        return CompletableFuture.completedFuture(null);
                    }
                    request.abort();
                    final CompletableFuture<Void> ready =
                            importFrom
                                    .map(
                                            from ->
                                                    mComponents
                                                            .engineClient()
                                                            .transfer(from, replica, request.id()))
                                    .orElse(CompletableFuture.completedFuture(null));
                    return ready.whenComplete(
                            (done, error) -> {
                                if (error == null) {
                                    reconnect(request, replica);
                                    importFrom.ifPresent(
                                            from -> cancelAtEngine(from, request.id()));
                                } else {
                                    request.setPaused(false);
                                    onStreamBroken(
                                            request, replica, toUpstreamException(error, replica));
                                }
                            });
                });
    }

    /**
     * Closes the connection of a stream and cancels the stream at the engine.
     *
     * @param request the request
     * @param replica the replica that runs it
     */
    void cancel(final ActiveRequest request, final ReplicaSpec replica) {
        request.abort();
        cancelAtEngine(replica, request.id());
    }

    /**
     * Closes the connection of a stalled stream and handles it like a broken one.
     *
     * @param request the request
     * @param replica the replica that runs it
     */
    void onStalled(final ActiveRequest request, final ReplicaSpec replica) {
        request.abort();
        final UpstreamException stalled =
                new UpstreamException(
                        Step.STREAM, replica.id(), UpstreamFault.BROKEN, "the stream stalled");
        mCrashDetector.onConnectionBroken(request, replica, true);
        onStreamBroken(request, replica, stalled);
    }

    private void reconnect(final ActiveRequest request, final ReplicaSpec replica) {
        request.setPaused(false);
        request.recordActivity(mComponents.time().monotonicNanos());
        request.assignReplica(replica.id(), null);
        final Connection connection = new Connection(request, replica, true);
        final int from = request.answerBuffer().tokenCount();
        mFinisher.recordDecision(
                request, Step.RESUME, "resumed", replica.id(), "from token " + from);
        final int maximum = request.submission().input().orElseThrow().maxOutputTokens();
        final StreamCall call =
                mComponents.engineClient().resume(replica, request.id(), from, maximum, connection);
        connection.attach(call);
    }

    private void cancelAtEngine(final ReplicaSpec replica, final String streamId) {
        // The engine frees streams by itself after some time, so a failure here does no harm.
        mComponents.engineClient().cancel(replica, streamId).exceptionally(error -> null);
    }

    private void onStreamBroken(
            final ActiveRequest request,
            final ReplicaSpec replica,
            final UpstreamException failure) {
        if (request.countResume() > MAXIMUM_RESUMES) {
            mFinisher.fail(request, ProblemType.OUTCOME_UNKNOWN, failure, Completion.FAILED);
            cancel(request, replica);
            return;
        }
        request.setPaused(true);
        request.setBroken(true);
        mFinisher.recordDecision(request, Step.STREAM, "broken", replica.id(), failure.detail());
        mComponents
                .scheduler()
                .onFinished(request.id(), Completion.BROKEN, mComponents.time().monotonicNanos());
    }

    /**
     * Ends a stream that its replica no longer knows. If the replica crashed, the other streams
     * that wait to be resumed there are lost too and end now instead of at their deadlines.
     */
    private void onStreamLost(
            final ActiveRequest request,
            final ReplicaSpec replica,
            final UpstreamException failure) {
        // A paused stream may have been evicted, which does not indicate a crash.
        if (request.isBroken()) {
            mCrashDetector.onStreamLost(request, replica);
        }
        mFinisher.fail(request, ProblemType.OUTCOME_UNKNOWN, failure, Completion.FAILED);
        for (final ActiveRequest other : mActiveRequests.get()) {
            if (other.isInFlight()
                    && other.isPaused()
                    && other.replica().equals(replica.id())
                    && mCrashDetector.hasCrashedSince(replica.id(), other.lastActivityNanos())) {
                mFinisher.fail(other, ProblemType.OUTCOME_UNKNOWN, failure, Completion.FAILED);
            }
        }
    }

    private static UpstreamException toUpstreamException(
            final Throwable error, final ReplicaSpec replica) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof UpstreamException
                ? (UpstreamException) cause
                : new UpstreamException(
                        Step.RESUME, replica.id(), UpstreamFault.BROKEN, String.valueOf(cause));
    }

    private static byte[] answerBody(final ActiveRequest request, final int tokens) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("requestId", request.id());
        fields.put("service", request.submission().service().id());
        fields.put("tokens", tokens);
        fields.put("text", request.answerBuffer().text());
        try {
            return MAPPER.writeValueAsBytes(fields);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("the answer cannot be written as JSON", e);
        }
    }

    /** Receives the tokens and the end of one connection of a stream. */
    private final class Connection implements StreamListener {
        private final ActiveRequest mRequest;
        private final ReplicaSpec mReplica;
        private final boolean mResumed;
        private final int mConnectionNumber;

        Connection(final ActiveRequest request, final ReplicaSpec replica, final boolean resumed) {
            mRequest = request;
            mReplica = replica;
            mResumed = resumed;
            mConnectionNumber = request.answerBuffer().startConnection();
        }

        void attach(final StreamCall call) {
            if (mRequest.answerBuffer().isCurrent(mConnectionNumber)) {
                mRequest.assignReplica(mReplica.id(), call);
            }
            if (mRequest.state().isFinal()) {
                call.abort();
            }
        }

        @Override
        public void onToken(final int index, final String text) {
            final long now = mComponents.time().monotonicNanos();
            mRequest.recordActivity(now);
            mRequest.setBroken(false);
            if (index == 0) {
                mRequest.recordFirstToken(now);
                mRequest.transition(RequestState.DISPATCHED, RequestState.STREAMING);
            }
            if (mRequest.answerBuffer().append(mConnectionNumber, index, text, mRequest.sink())) {
                mComponents.scheduler().onTokens(mRequest.id(), index + 1, now);
            }
        }

        @Override
        public void onEnd(final int tokens) {
            if (mRequest.answerBuffer().isCurrent(mConnectionNumber)
                    && mRequest.answerBuffer().tokenCount() == tokens) {
                final byte[] body = answerBody(mRequest, tokens);
                final String sha256 = mRequest.answerBuffer().sha256();
                mFinisher.complete(
                        mRequest, new Answer(200, "application/json", body, tokens, sha256));
            }
        }

        @Override
        public void onFailure(final UpstreamException failure) {
            if (!mRequest.answerBuffer().isCurrent(mConnectionNumber)) {
                return;
            }
            final boolean notSent = failure.fault() == UpstreamFault.NOT_SENT;
            if (notSent && !mResumed) {
                mDispatchCheck.requeue(mRequest, failure);
                if (mRequest.state() == RequestState.QUEUED) {
                    mCrashDetector.onConnectionBroken(mRequest, mReplica, false);
                }
            } else if (failure.fault() == UpstreamFault.REJECTED) {
                onRejected(failure);
            } else if (!mRequest.isPaused()) {
                if (failure.fault() != UpstreamFault.INVALID_RESPONSE) {
                    mCrashDetector.onConnectionBroken(mRequest, mReplica, true);
                }
                onStreamBroken(mRequest, mReplica, failure);
            }
        }

        private void onRejected(final UpstreamException failure) {
            if (!mResumed) {
                mFinisher.fail(mRequest, ProblemType.UPSTREAM_FAILED, failure, Completion.FAILED);
            } else if (failure.status() == 404) {
                onStreamLost(mRequest, mReplica, failure);
            } else {
                onStreamBroken(mRequest, mReplica, failure);
            }
        }
    }
}
