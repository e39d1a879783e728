package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.Route;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Carries one attempt of a caller from its arrival to its final answer.
 *
 * <p>The attempt is sent to one replica at a time. It is sent again only if the replica did not run
 * it, or if its route lets it run again. All methods run on the event loop.
 */
final class RelayCall implements ExchangeListener {
    /** Larger plain answers are passed on while they arrive. */
    private static final int MAXIMUM_HELD_ANSWER_BYTES = 256 * 1024;

    private static final double NANOS_PER_MILLI = 1e6;

    private final CallerRequest mRequest;
    private final Route mRoute;
    private final String mUpstream;
    private final RelayCustomer mCustomer;
    private final long mUnits;
    private final WorkSize mWork;
    private final double mWaitedBefore;
    private final long mDeadlineNanos;
    private final RelayService mService;
    private final Set<String> mExcluded = new HashSet<>();
    private Phase mPhase = Phase.WAITING;
    private int mAttempts;
    private int mSends;
    private boolean mMayHaveRun;
    private boolean mCallerGone;
    private boolean mStallNoted;
    private Replica mReplica;
    private Choice mChoice;
    private UpstreamConnection mConnection;
    private boolean mCounted;
    private boolean mPrefillCounted;
    private long mSentNanos;
    private long mFirstNanos;
    private long mLastEventNanos;
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
     * @param request the caller's request
     * @param route its route
     * @param upstream the upstream that serves it
     * @param customer the customer, null if the route needs no key
     * @param units the units that were taken from the customer's quota
     * @param work the work for a replica
     * @param waitedBeforeMillis the time since the caller's first attempt, in milliseconds
     * @param deadlineNanos when the attempt ends at the latest, by the monotonic clock
     * @param service the service that the attempt belongs to
     */
    RelayCall(
            final CallerRequest request,
            final Route route,
            final String upstream,
            final RelayCustomer customer,
            final long units,
            final WorkSize work,
            final double waitedBeforeMillis,
            final long deadlineNanos,
            final RelayService service) {
        mRequest = request;
        mRoute = route;
        mUpstream = upstream;
        mCustomer = customer;
        mUnits = units;
        mWork = work;
        mWaitedBefore = waitedBeforeMillis;
        mDeadlineNanos = deadlineNanos;
        mService = service;
    }

    CallerRequest request() {
        return mRequest;
    }

    String id() {
        return mRequest.head().attemptId();
    }

    Route route() {
        return mRoute;
    }

    String upstream() {
        return mUpstream;
    }

    RelayCustomer customer() {
        return mCustomer;
    }

    long units() {
        return mUnits;
    }

    WorkSize work() {
        return mWork;
    }

    Set<String> excluded() {
        return mExcluded;
    }

    Phase phase() {
        return mPhase;
    }

    Replica replica() {
        return mReplica;
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

    boolean isReturned() {
        return mWaitedBefore > 0;
    }

    boolean hasStarted() {
        return mHeadForwarded;
    }

    int rank() {
        return mCustomer == null ? mRoute.rank() : mCustomer.rank().orElse(mRoute.rank());
    }

    double millisLeft(final long nowNanos) {
        return (mDeadlineNanos - nowNanos) / NANOS_PER_MILLI;
    }

    double waitedMillis(final long nowNanos) {
        return (nowNanos - mRequest.arrivedNanos()) / NANOS_PER_MILLI;
    }

    /** Returns the time until the first event is late, in milliseconds, negative if it is late. */
    double objectiveLeft(final long nowNanos) {
        return mRoute.objectiveMillis() - mWaitedBefore - waitedMillis(nowNanos);
    }

    Admission.Applicant applicant(final long nowNanos) {
        return new Admission.Applicant(
                mRoute.objectiveMillis(),
                mWaitedBefore + waitedMillis(nowNanos),
                millisLeft(nowNanos),
                isReturned());
    }

    /** Sends the attempt to the chosen replica. */
    void send(final Choice choice) {
        mPhase = Phase.CONNECTING;
        mChoice = choice;
        mReplica = choice.replica();
        mSends++;
        mStallNoted = false;
        mCounted = true;
        mPrefillCounted = true;
        mReplica.onSent(choice.prefillTokens());
        mSentNanos = mService.nowNanos();
        mFirstNanos = 0;
        mLastEventNanos = mSentNanos;
        final int send = mSends;
        final boolean fresh = !mRoute.repeat().isRepeatable();
        mService.connections()
                .acquire(
                        mReplica,
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
                !mRoute.repeat().isRepeatable()
                        && !mRoute.repeat().isStream()
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
        mExcluded.add(mReplica.entry().id());
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
            mReplica.onObservedLoad(head.load(), mService.nowNanos());
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
        mService.onReplicaFailed(this, reason);
        mMayHaveRun |= !untouched;
        mExcluded.add(mReplica.entry().id());
        final boolean resendable = untouched || mRoute.repeat().isRepeatable();
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
        connection.send(id(), mService.upstreamRequest(this, resumeAfter), this);
    }

    private void returnUnused(final UpstreamConnection connection) {
        if (connection != null) {
            connection.close();
        }
    }

    private void onUnreachable(final String reason) {
        release();
        mExcluded.add(mReplica.entry().id());
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
        mExcluded.add(mReplica.entry().id());
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
        return mRoute.repeat().isStream()
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
        final long now = mService.nowNanos();
        if (mFirstNanos == 0) {
            onFirstEvent(now);
        }
        mLastEventNanos = now;
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

    private void onFirstEvent(final long now) {
        mFirstNanos = now;
        releasePrefill();
        mService.onFirstEvent(this, mChoice, (now - mSentNanos) / NANOS_PER_MILLI);
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
        final long now = mService.nowNanos();
        final long from = mFirstNanos == 0 ? mSentNanos : mFirstNanos;
        mReplica.onServed(Math.max(1.0, (now - from) / NANOS_PER_MILLI));
        release();
        mService.onSucceeded(
                this,
                mHead.status(),
                mSplitter == null ? 0 : mSplitter.events(),
                (mLastEventNanos - mFirstNanos) / NANOS_PER_MILLI);
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
        } else if (mRoute.repeat().isRepeatable() && mService.mayResend(this, false)) {
            mMayHaveRun = true;
            mExcluded.add(mReplica.entry().id());
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
        if (mCounted) {
            releasePrefill();
            mCounted = false;
            mReplica.onEnded();
        }
    }

    private void releasePrefill() {
        if (mPrefillCounted) {
            mPrefillCounted = false;
            mReplica.onPrefilled(mChoice.prefillTokens());
        }
    }

    private void done() {
        if (mPhase != Phase.DONE) {
            mPhase = Phase.DONE;
            mRequest.release();
            mService.onDone(this);
        }
    }

    /** Returns the time since the replica was last heard of for this attempt, in milliseconds. */
    double silentMillis(final long nowNanos) {
        return TimeUnit.NANOSECONDS.toMicros(nowNanos - mLastEventNanos) / 1_000.0;
    }

    boolean hasEvents() {
        return mFirstNanos != 0;
    }

    Choice choice() {
        return mChoice;
    }

    /** Notes once for each send that the replica is silent. */
    boolean noteStall() {
        final boolean first = !mStallNoted;
        mStallNoted = true;
        return first;
    }
}
