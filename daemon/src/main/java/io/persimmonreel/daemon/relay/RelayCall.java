package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.VersionBinding;
import io.persimmonreel.core.retry.ExecutionRecord;
import io.persimmonreel.core.route.ResendRule;
import io.persimmonreel.daemon.http.EventSplitter;
import io.persimmonreel.daemon.http.EventTooLongException;
import java.util.HashSet;
import java.util.Set;

/**
 * Relays one accepted request to replicas until its final response.
 *
 * <p>The request is sent to one replica at a time. It is sent again only if the replica did not run
 * it, or if its route allows it to run again. All methods run on the event loop.
 */
final class RelayCall implements ExchangeListener {
    private final RelayTask mTask;
    private final CallerRequest mRequest;
    private final CallerResponse mCallerResponse;
    private final RelayService mService;
    private final Set<String> mExcludedReplicas = new HashSet<>();
    private final ExecutionRecord mExecution = new ExecutionRecord();
    private final VersionBinding mVersionBinding = new VersionBinding();
    private Phase mPhase = Phase.WAITING;
    private int mCountedDispatches;
    private int mDispatchCount;
    private Dispatch mDispatch;
    private UpstreamConnection mConnection;
    private HttpResponse mResponse;
    private ByteBuf mBufferedBody = Unpooled.EMPTY_BUFFER;
    private EventSplitter mSplitter;

    /** Lists the phases of a call. */
    enum Phase {
        /** Waits for a replica. */
        WAITING,
        /** Waits for a connection to the chosen replica. */
        CONNECTING,
        /** Was sent; the response headers have not arrived. */
        SENT,
        /** Buffers a response that is not an event stream. */
        ANSWERING,
        /** Forwards an event stream. */
        STREAMING,
        /** Streams a response that is too large to buffer. */
        PASSING,
        /** Ended. */
        DONE
    }

    /**
     * Creates a call.
     *
     * @param task the accepted request
     * @param service the service that the call belongs to
     */
    RelayCall(final RelayTask task, final RelayService service) {
        mTask = task;
        mRequest = task.request();
        mCallerResponse = new CallerResponse(mRequest);
        mService = service;
    }

    RelayTask task() {
        return mTask;
    }

    /** Returns the modifiable set of the ids of replicas that should not get the request again. */
    Set<String> excludedReplicas() {
        return mExcludedReplicas;
    }

    /** Returns the software version to which the call is bound once the caller has events. */
    VersionBinding versionBinding() {
        return mVersionBinding;
    }

    Phase phase() {
        return mPhase;
    }

    /** Returns the replica of the last dispatch, null before the first one. */
    Replica replica() {
        return mDispatch == null ? null : mDispatch.replica();
    }

    /** Returns the last dispatch, null before the first one. */
    Dispatch dispatch() {
        return mDispatch;
    }

    /** Returns whether the call has ended; it then has no further effect. */
    boolean isDone() {
        return mPhase == Phase.DONE;
    }

    /** Returns whether a replica works on the request. */
    boolean isAtReplica() {
        return mPhase != Phase.WAITING && mPhase != Phase.CONNECTING && mPhase != Phase.DONE;
    }

    /** Returns the number of dispatches, including those to unreachable replicas. */
    int dispatchCount() {
        return mDispatchCount;
    }

    /**
     * Returns the number of dispatches that count towards the maximum attempts of the route: those
     * that were written to a connection and not refused with status 421 (misdirected request).
     */
    int countedDispatches() {
        return mCountedDispatches;
    }

    boolean mayHaveRun() {
        return mExecution.mayHaveRun();
    }

    /**
     * Returns the status of a failure of this call. Callers take 503 as the promise that the
     * request has not run and will not run.
     *
     * @param ifMayHaveRun the status that is used if a replica may have run the request
     */
    HttpResponseStatus failureStatus(final HttpResponseStatus ifMayHaveRun) {
        return mayHaveRun() ? ifMayHaveRun : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    /** Returns whether the call can still be ended with the promise that it did not run. */
    boolean canBeRefused() {
        return !mayHaveRun() && !mCallerResponse.isStarted();
    }

    /** Sends the request to the chosen replica. */
    void dispatch(final Choice choice) {
        mPhase = Phase.CONNECTING;
        mDispatchCount++;
        mDispatch = new Dispatch(choice, mService.nowNanos());
        final int dispatchNumber = mDispatchCount;
        mService.connections()
                .acquire(
                        replica(),
                        mTask.id(),
                        !mTask.route().resendRule().allowsResend(),
                        (connection, failure) -> onAcquired(dispatchNumber, connection, failure));
    }

    private void onAcquired(
            final int dispatchNumber, final UpstreamConnection connection, final String failure) {
        if (mPhase == Phase.CONNECTING && mDispatchCount == dispatchNumber) {
            mService.runFor(this, "dispatch", () -> onConnection(connection, failure));
        } else if (connection != null) {
            connection.close();
        }
    }

    private void onConnection(final UpstreamConnection connection, final String failure) {
        if (connection == null) {
            onUnreachable(failure);
        } else if (!mService.replicas().isEvacuated(replica().entry())
                && mService.replicaObserver().mayWrite(this)
                && mService.quotaGate().spend(this)) {
            write(connection);
        } else {
            connection.close();
            releaseDispatch();
            mPhase = Phase.WAITING;
            mService.quotaGate().admit(this);
        }
    }

    /**
     * Ends the call because the caller closed its connection. A request that was already sent still
     * runs to its end if it must not run twice and is no stream.
     */
    void onCallerGone() {
        if (isDone()) {
            return;
        }
        mCallerResponse.onCallerGone();
        final ResendRule rule = mTask.route().resendRule();
        if (rule.allowsResend() || rule.isStream() || !isAtReplica()) {
            mService.onCancelled(this);
            end();
        }
    }

    void onCallerWritable(final boolean writable) {
        if (mConnection != null) {
            mConnection.setReading(writable);
        }
    }

    /** Takes the request back from the current replica, which may have run it once written. */
    void abandonReplica() {
        cancelExchange();
        mPhase = Phase.WAITING;
    }

    /**
     * Ends the call with an error response, or closes the caller's connection if the response has
     * already started.
     *
     * @param ifMayHaveRun the status if a replica may have run the request; otherwise it is 503
     * @param reason the reason, one short sentence
     * @param retryAfterMillis the Retry-After time of a request that did not run, 0 for none
     */
    void fail(
            final HttpResponseStatus ifMayHaveRun,
            final String reason,
            final long retryAfterMillis) {
        endWithError(failureStatus(ifMayHaveRun), reason, mayHaveRun() ? 0 : retryAfterMillis);
    }

    /** Ends the call with an error response of a given status, as {@link #fail} does. */
    void endWithError(
            final HttpResponseStatus status, final String reason, final long retryAfterMillis) {
        end(
                () -> {
                    if (mCallerResponse.isStarted()) {
                        mCallerResponse.abort();
                    } else if (!mCallerResponse.isCallerGone()) {
                        mService.respond(mRequest, status, reason, retryAfterMillis);
                    }
                });
    }

    @Override
    public void onWritten() {
        mDispatch.onWritten(mConnection.exchange());
        mService.log().written(this, mService.nowNanos());
        mExecution.onSent();
        mPhase = Phase.SENT;
    }

    @Override
    public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {
        mService.replicaObserver().onHeaders(this, response.status(), replicaHeaders);
        mResponse = response;
        final boolean misdirected = ReplicaResponses.isMisdirected(response.status());
        if (misdirected || replicaHeaders.notRun()) {
            mPhase = Phase.ANSWERING;
            onNotRun(misdirected, response.status());
            return;
        }
        if (mTask.route().resendRule().isStream() && ReplicaResponses.isEventStream(response)) {
            mPhase = Phase.STREAMING;
            if (mSplitter == null) {
                mSplitter = new EventSplitter(mRequest.callerHeaders().resumeAfter());
            }
        } else if (mCallerResponse.isStarted()) {
            onFailed("the replica did not continue the stream");
        } else {
            mPhase = Phase.ANSWERING;
            mBufferedBody = Unpooled.EMPTY_BUFFER;
        }
    }

    @Override
    public void onBody(final ByteBuf bytes) {
        if (mPhase == Phase.STREAMING) {
            onEvents(bytes);
        } else if (mPhase == Phase.PASSING) {
            mCallerResponse.stream(Unpooled.copiedBuffer(bytes), mDispatch.exchange());
        } else if (mPhase == Phase.ANSWERING) {
            bufferBody(bytes);
        }
    }

    @Override
    public void onEnd() {
        mConnection = null;
        if (mPhase == Phase.STREAMING) {
            if (mSplitter.hasPartialEvent()) {
                onFailed("the stream ended inside an event");
            } else {
                onStreamEnd();
            }
        } else if (mPhase == Phase.PASSING) {
            succeed();
            end(() -> mCallerResponse.end(mDispatch.exchange()));
        } else if (mPhase == Phase.ANSWERING) {
            onFullResponse();
        }
    }

    @Override
    public void onFailed(final String reason) {
        if (isDone()) {
            return;
        }
        cancelExchange();
        mService.replicaObserver().onExchangeFailed(this, reason);
        mExcludedReplicas.add(replica().entry().id());
        if (mCallerResponse.isCallerGone()) {
            end();
        } else if (mPhase != Phase.PASSING && mService.tryReserveResend(this, false)) {
            mPhase = Phase.WAITING;
            mService.resend(this, mCallerResponse.isStarted() ? "resume" : "broken", reason);
        } else {
            mService.fail(this, HttpResponseStatus.BAD_GATEWAY, reason);
        }
    }

    private void write(final UpstreamConnection connection) {
        mConnection = connection;
        mCountedDispatches++;
        final String resumeAfter =
                mSplitter == null ? mRequest.callerHeaders().resumeAfter() : mSplitter.restart();
        connection.send(
                mTask.id(),
                mService.requestBuilder().build(this, resumeAfter, mService.nowNanos()),
                new GuardedExchangeListener(this, mService));
    }

    private void onUnreachable(final String reason) {
        releaseDispatch();
        mExcludedReplicas.add(replica().entry().id());
        mService.replicaObserver().onUnreachable(this, reason);
        mPhase = Phase.WAITING;
        mService.resend(this, "unreachable", reason);
    }

    /**
     * Handles a response which states that the replica did not run the request, so that it may be
     * sent to another replica.
     */
    private void onNotRun(final boolean misdirected, final HttpResponseStatus status) {
        if (mConnection != null) {
            mConnection.ignoreRest();
            mConnection = null;
        }
        releaseDispatch();
        mExecution.onProvenNotRun();
        mService.quotaGate().onNotRun(this);
        mExcludedReplicas.add(replica().entry().id());
        if (misdirected) {
            mCountedDispatches--;
        }
        mService.replicaObserver().onRefused(this, status);
        if (mCallerResponse.isCallerGone()) {
            end();
        } else if (mService.tryReserveResend(this, true)) {
            mPhase = Phase.WAITING;
            mService.resend(this, "not-run", "the replica answered " + status.code());
        } else {
            mService.fail(
                    this, HttpResponseStatus.BAD_GATEWAY, "the replica answered " + status.code());
        }
    }

    private void onEvents(final ByteBuf bytes) {
        final int eventsBefore = mSplitter.eventCount();
        final ByteBuf completeEvents;
        try {
            completeEvents = mSplitter.split(bytes);
        } catch (final EventTooLongException e) {
            onFailed(e.getMessage());
            return;
        }
        if (!completeEvents.isReadable()) {
            completeEvents.release();
            return;
        }
        if (mSplitter.eventCount() > eventsBefore && mDispatch.onEvent(mService.nowNanos())) {
            mService.onFirstEvent(this);
        }
        mCallerResponse.start(mResponse, mDispatch.exchange());
        mCallerResponse.stream(completeEvents, mDispatch.exchange());
    }

    private void onStreamEnd() {
        mCallerResponse.start(mResponse, mDispatch.exchange());
        succeed();
        end(() -> mCallerResponse.end(mDispatch.exchange()));
    }

    private void succeed() {
        mDispatch.recordServiceTime(mService.nowNanos());
        releaseDispatch();
        mService.onSucceeded(
                this, mResponse.status(), mSplitter == null ? 0 : mSplitter.eventCount());
    }

    private void bufferBody(final ByteBuf bytes) {
        if (mCallerResponse.isCallerGone()) {
            return;
        }
        if (mBufferedBody == Unpooled.EMPTY_BUFFER) {
            mBufferedBody = Unpooled.buffer(bytes.readableBytes());
        }
        mBufferedBody.writeBytes(bytes);
        final boolean tooLong =
                mBufferedBody.readableBytes() > ReplicaResponses.MAXIMUM_BUFFERED_BYTES;
        if (tooLong && ReplicaResponses.impliesNotRun(mResponse.status())) {
            cancelExchange();
            onErrorResponse(mResponse.status());
        } else if (tooLong) {
            mPhase = Phase.PASSING;
            mCallerResponse.start(mResponse, mDispatch.exchange());
            mCallerResponse.stream(mBufferedBody, mDispatch.exchange());
            mBufferedBody = Unpooled.EMPTY_BUFFER;
        }
    }

    private void onFullResponse() {
        final HttpResponseStatus status = mResponse.status();
        if (status.codeClass() == HttpStatusClass.SERVER_ERROR
                || ReplicaResponses.impliesNotRun(status)) {
            onErrorResponse(status);
            return;
        }
        succeed();
        forward(status);
    }

    private void onErrorResponse(final HttpResponseStatus status) {
        releaseDispatch();
        mService.replicaObserver().onError(this, status);
        if (mCallerResponse.isCallerGone()) {
            end();
        } else if (mTask.route().resendRule().allowsResend()
                && mService.tryReserveResend(this, false)) {
            mExcludedReplicas.add(replica().entry().id());
            mPhase = Phase.WAITING;
            mService.resend(this, "error", "the replica answered " + status.code());
        } else if (ReplicaResponses.impliesNotRun(status)) {
            mService.fail(
                    this,
                    HttpResponseStatus.BAD_GATEWAY,
                    "the replica answered " + status.code() + " and may have run");
        } else {
            mService.log().errorForwarded(this, status, mService.nowNanos());
            forward(status);
        }
    }

    private void forward(final HttpResponseStatus status) {
        end(() -> mCallerResponse.forward(status, mResponse, mBufferedBody, mDispatch.exchange()));
    }

    private void cancelExchange() {
        final UpstreamConnection connection = mConnection;
        mConnection = null;
        if (connection != null) {
            connection.cancel();
        }
        releaseDispatch();
    }

    private void releaseDispatch() {
        if (mDispatch != null) {
            mDispatch.release();
        }
    }

    /** Ends the call without a response, since the caller is gone. */
    private void end() {
        end(() -> {});
    }

    /**
     * Ends the call. The transition happens once and before anything else, so that no event that
     * follows from it finds the call in progress.
     *
     * @param completeResponse completes the response to the caller
     */
    private void end(final Runnable completeResponse) {
        if (isDone()) {
            return;
        }
        mPhase = Phase.DONE;
        try {
            cancelExchange();
            mService.onDone(this);
            mRequest.releaseBody();
        } finally {
            try {
                completeResponse.run();
            } catch (final RuntimeException | Error e) {
                abortResponse();
                mService.endAfterError(this, "response", e);
            }
        }
        mService.log().checkResponse(this, mCallerResponse.firstExchange());
    }

    /** Closes the caller's connection, so that the caller does not wait for a response. */
    void abortResponse() {
        mCallerResponse.abort();
    }
}
