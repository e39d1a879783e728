package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;
import java.util.HashSet;
import java.util.Set;

/**
 * Carries one attempt of a caller from its arrival to its final answer.
 *
 * <p>The attempt is sent to one replica at a time. It is sent again only if the replica did not run
 * it, or if its route lets it run again. All methods run on the event loop.
 */
final class RelayCall implements ExchangeListener {
    /** Larger plain answers are passed on while they arrive. */
    private static final int MAXIMUM_HELD_ANSWER_BYTES = 256 * 1024;

    private final RelayTask mTask;
    private final CallerRequest mRequest;
    private final RelayService mService;
    private final Set<String> mExcluded = new HashSet<>();
    private Phase mPhase = Phase.WAITING;
    private int mAttempts;
    private int mSends;
    private boolean mMayHaveRun;
    private boolean mCallerGone;
    private Sending mSending;
    private UpstreamConnection mConnection;
    private HttpResponse mHead;
    private ByteBuf mHeld = Unpooled.EMPTY_BUFFER;
    private EventSplitter mSplitter;
    private boolean mHeadForwarded;

    /** Phases of an attempt. */
    enum Phase {
        /** Waits for a replica. */
        WAITING,
        /** Waits for a connection to the chosen replica. */
        CONNECTING,
        /** Was sent; the answer's head has not arrived. */
        SENT,
        /** Collects a plain answer. */
        ANSWERING,
        /** Passes on events. */
        STREAMING,
        /** Passes on a plain answer that is too large to hold. */
        PASSING,
        /** Ended. */
        DONE
    }

    /**
     * Creates an attempt.
     *
     * @param task what is fixed about it
     * @param service the service that it belongs to
     */
    RelayCall(final RelayTask task, final RelayService service) {
        mTask = task;
        mRequest = task.request();
        mService = service;
    }

    RelayTask task() {
        return mTask;
    }

    Set<String> excluded() {
        return mExcluded;
    }

    Phase phase() {
        return mPhase;
    }

    /** Returns the replica of the last send, null before the first. */
    Replica replica() {
        return mSending == null ? null : mSending.replica();
    }

    /** Returns the last send, null before the first. */
    Sending sending() {
        return mSending;
    }

    /** Tells whether a replica works on the attempt. */
    boolean isAtReplica() {
        return mPhase != Phase.WAITING && mPhase != Phase.CONNECTING && mPhase != Phase.DONE;
    }

    int sends() {
        return mSends;
    }

    int attempts() {
        return mAttempts;
    }

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    boolean hasStarted() {
        return mHeadForwarded;
    }

    /** Sends the attempt to the chosen replica. */
    void send(final Choice choice) {
        mPhase = Phase.CONNECTING;
        mSends++;
        mSending = new Sending(choice, mService.nowNanos());
        final int send = mSends;
        final boolean fresh = !mTask.route().repeat().isRepeatable();
        mService.connections()
                .acquire(
                        replica(),
                        fresh,
                        (connection, failure) -> {
                            if (mPhase != Phase.CONNECTING || mSends != send) {
                                returnUnused(connection);
                            } else if (connection == null) {
                                onUnreachable(failure);
                            } else {
                                write(connection);
                            }
                        });
    }

    /** Ends the attempt because its caller is gone. */
    void onCallerGone() {
        mCallerGone = true;
        final boolean runsOn =
                !mTask.route().repeat().isRepeatable()
                        && !mTask.route().repeat().isStream()
                        && mPhase != Phase.WAITING
                        && mPhase != Phase.CONNECTING;
        if (!runsOn) {
            mService.onCancelled(this);
            cancelExchange();
            done();
        }
    }

    void onCallerWritable(final boolean writable) {
        if (mConnection != null) {
            mConnection.reading(writable);
        }
    }

    /** Stops waiting for the present replica and counts what it was sent as possibly run. */
    void abandonReplica() {
        mMayHaveRun = true;
        mExcluded.add(replica().entry().id());
        cancelExchange();
        mPhase = Phase.WAITING;
    }

    /** Ends the attempt with an answer of this daemon, or breaks its stream off. */
    void fail(final HttpResponseStatus status, final String reason, final long returnMillis) {
        cancelExchange();
        if (!mCallerGone) {
            if (mHeadForwarded) {
                mRequest.connection().abort();
            } else {
                mService.answer(mRequest, status, reason, returnMillis);
            }
        }
        done();
    }

    @Override
    public void onWritten() {
        mPhase = Phase.SENT;
    }

    @Override
    public void onHead(final HttpResponse response, final ReplicaHead head) {
        if (head.load() >= 0) {
            replica().onObservedLoad(head.load(), mService.nowNanos());
        }
        mHead = response;
        final boolean misdirected = response.status().code() == 421;
        if (misdirected || head.notRun()) {
            mPhase = Phase.ANSWERING;
            onNotRun(misdirected, response.status());
            return;
        }
        if (isEventStream(response)) {
            mPhase = Phase.STREAMING;
            if (mSplitter == null) {
                mSplitter = new EventSplitter(mRequest.head().resumeAfter());
            }
        } else if (mHeadForwarded) {
            onBroken(false, "the replica did not continue the stream");
        } else {
            mPhase = Phase.ANSWERING;
            mHeld = Unpooled.EMPTY_BUFFER;
        }
    }

    @Override
    public void onBody(final ByteBuf bytes) {
        if (mPhase == Phase.STREAMING) {
            onEvents(bytes);
        } else if (mPhase == Phase.PASSING) {
            mRequest.connection().stream(Unpooled.copiedBuffer(bytes));
        } else if (mPhase == Phase.ANSWERING) {
            hold(bytes);
        }
    }

    @Override
    public void onEnd() {
        mConnection = null;
        if (mPhase == Phase.STREAMING) {
            if (mSplitter.hasPartialEvent()) {
                onBroken(false, "the stream ended inside an event");
            } else {
                onStreamEnd();
            }
        } else if (mPhase == Phase.PASSING) {
            succeed();
            mRequest.connection().endStream();
            done();
        } else if (mPhase == Phase.ANSWERING) {
            onAnswer();
        }
    }

    @Override
    public void onBroken(final boolean untouched, final String reason) {
        final UpstreamConnection connection = mConnection;
        mConnection = null;
        if (connection != null) {
            connection.cancel();
        }
        release();
        mService.onReplicaBroke(this, reason);
        mMayHaveRun |= !untouched;
        mExcluded.add(replica().entry().id());
        final boolean resendable = untouched || mTask.route().repeat().isRepeatable();
        if (mCallerGone) {
            done();
        } else if (resendable && mService.mayResend(this, untouched)) {
            mPhase = Phase.WAITING;
            mService.resend(this, mHeadForwarded ? "resume" : "broken", reason);
        } else {
            mService.onFailed(this, HttpResponseStatus.BAD_GATEWAY, reason);
        }
    }

    private void write(final UpstreamConnection connection) {
        mConnection = connection;
        mAttempts++;
        final String resumeAfter =
                mSplitter != null && mSplitter.lastId() != null
                        ? mSplitter.lastId()
                        : mRequest.head().resumeAfter();
        if (mSplitter != null) {
            mSplitter.restart();
        }
        connection.send(
                mTask.id(),
                mService.requests().build(this, resumeAfter, mService.nowNanos()),
                this);
    }

    private void returnUnused(final UpstreamConnection connection) {
        if (connection != null) {
            connection.close();
        }
    }

    private void onUnreachable(final String reason) {
        release();
        mExcluded.add(replica().entry().id());
        mService.onReplicaUnreachable(this, reason);
        mPhase = Phase.WAITING;
        mService.resend(this, "unreachable", reason);
    }

    /** The replica states that it did not run the request, so it may be sent elsewhere. */
    private void onNotRun(final boolean misdirected, final HttpResponseStatus status) {
        if (mConnection != null) {
            mConnection.drop();
            mConnection = null;
        }
        release();
        mExcluded.add(replica().entry().id());
        if (misdirected) {
            mAttempts--;
        }
        mService.onReplicaRefused(this, status);
        if (mCallerGone) {
            done();
        } else if (mService.mayResend(this, true)) {
            mPhase = Phase.WAITING;
            mService.resend(this, "not-run", "the replica answered " + status.code());
        } else {
            mService.onFailed(
                    this,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "the replica answered " + status.code());
        }
    }

    private boolean isEventStream(final HttpResponse response) {
        final String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return mTask.route().repeat().isStream()
                && response.status().codeClass() == HttpStatusClass.SUCCESS
                && type != null
                && type.startsWith(HttpHeaderValues.TEXT_EVENT_STREAM.toString());
    }

    private void onEvents(final ByteBuf bytes) {
        final ByteBuf whole;
        try {
            whole = mSplitter.split(bytes);
        } catch (final RelayException e) {
            onBroken(false, e.getMessage());
            return;
        }
        if (!whole.isReadable()) {
            whole.release();
            return;
        }
        if (mSending.onEvent(mService.nowNanos())) {
            mService.onFirstEvent(this);
        }
        if (mCallerGone) {
            whole.release();
            return;
        }
        if (!mHeadForwarded) {
            mHeadForwarded = true;
            mRequest.connection().startStream(mHead.status(), endToEnd(mHead.headers()));
        }
        mRequest.connection().stream(whole);
    }

    private void onStreamEnd() {
        if (!mHeadForwarded && !mCallerGone) {
            mHeadForwarded = true;
            mRequest.connection().startStream(mHead.status(), endToEnd(mHead.headers()));
        }
        succeed();
        if (!mCallerGone) {
            mRequest.connection().endStream();
        }
        done();
    }

    private void succeed() {
        mSending.onServed(mService.nowNanos());
        release();
        mService.onSucceeded(this, mHead.status(), mSplitter == null ? 0 : mSplitter.events());
    }

    private void hold(final ByteBuf bytes) {
        if (mHeld == Unpooled.EMPTY_BUFFER) {
            mHeld = Unpooled.buffer(bytes.readableBytes());
        }
        mHeld.writeBytes(bytes);
        if (mHeld.readableBytes() > MAXIMUM_HELD_ANSWER_BYTES && !mCallerGone) {
            mPhase = Phase.PASSING;
            mHeadForwarded = true;
            mRequest.connection().startStream(mHead.status(), endToEnd(mHead.headers()));
            mRequest.connection().stream(mHeld);
            mHeld = Unpooled.EMPTY_BUFFER;
        }
    }

    private void onAnswer() {
        final HttpResponseStatus status = mHead.status();
        if (status.codeClass() == HttpStatusClass.SERVER_ERROR) {
            onErrorAnswer(status);
            return;
        }
        succeed();
        forward(status);
    }

    private void onErrorAnswer(final HttpResponseStatus status) {
        release();
        mService.onReplicaError(this, status);
        if (mCallerGone) {
            done();
        } else if (mTask.route().repeat().isRepeatable() && mService.mayResend(this, false)) {
            mMayHaveRun = true;
            mExcluded.add(replica().entry().id());
            mPhase = Phase.WAITING;
            mService.resend(this, "error", "the replica answered " + status.code());
        } else if (isPromiseNotRun(status)) {
            mMayHaveRun = true;
            mService.onFailed(
                    this,
                    HttpResponseStatus.BAD_GATEWAY,
                    "the replica answered "
                            + status.code()
                            + " without saying that it did not run");
        } else {
            forward(status);
        }
    }

    /** Callers read these statuses as a promise that the request has not run. */
    private static boolean isPromiseNotRun(final HttpResponseStatus status) {
        return status.code() == 503 || status.code() == 429 || status.code() == 408;
    }

    private void forward(final HttpResponseStatus status) {
        if (!mCallerGone) {
            mRequest.connection().answer(status, endToEnd(mHead.headers()), mHeld);
        }
        done();
    }

    private static HttpHeaders endToEnd(final HttpHeaders headers) {
        return EndToEnd.copy(headers);
    }

    private void cancelExchange() {
        final UpstreamConnection connection = mConnection;
        mConnection = null;
        if (connection != null) {
            connection.cancel();
        }
        release();
    }

    private void release() {
        if (mSending != null) {
            mSending.release();
        }
    }

    private void done() {
        if (mPhase != Phase.DONE) {
            mPhase = Phase.DONE;
            mService.onDone(this);
            mRequest.release();
        }
    }
}
