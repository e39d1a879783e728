package io.persimmonreel.daemon.request;

import io.persimmonreel.core.schedule.PendingRequest;
import io.persimmonreel.daemon.upstream.StreamCall;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/** Holds the mutable state of one request in progress. Instances are thread safe. */
final class ActiveRequest {
    /** The claim attempt of a request that holds no claim. */
    static final long NO_CLAIM_ATTEMPT = -1;

    private final Submission mSubmission;
    private final AnswerSink mSink;
    private final AtomicReference<RequestState> mState =
            new AtomicReference<>(RequestState.RECEIVED);
    private final AtomicInteger mResumes = new AtomicInteger();
    private final AnswerBuffer mAnswerBuffer = new AnswerBuffer();
    private volatile long mClaimAttempt = NO_CLAIM_ATTEMPT;
    private volatile QuarantineGateway.Verdict mVerdict;
    private volatile String mReplica = "";
    private volatile StreamCall mStreamCall;
    private volatile boolean mPaused;
    private volatile boolean mBroken;
    private volatile boolean mCallerDisconnected;
    private volatile long mFirstTokenNanos;
    private volatile long mLastActivityNanos;
    private CompletableFuture<Void> mControlCalls = CompletableFuture.completedFuture(null);

    ActiveRequest(final Submission submission, final AnswerSink sink) {
        mSubmission = submission;
        mSink = sink;
    }

    Submission submission() {
        return mSubmission;
    }

    String id() {
        return mSubmission.requestId();
    }

    AnswerSink sink() {
        return mSink;
    }

    AnswerBuffer answerBuffer() {
        return mAnswerBuffer;
    }

    RequestState state() {
        return mState.get();
    }

    /**
     * Changes the state if the present state is the expected one.
     *
     * @param from the expected state
     * @param to the new state
     * @return true if the state was changed
     */
    boolean transition(final RequestState from, final RequestState to) {
        if (!from.canTransitionTo(to)) {
            throw new IllegalStateException(from + " cannot change to " + to);
        }
        return mState.compareAndSet(from, to);
    }

    /**
     * Changes the state to a final one, if the present state allows it.
     *
     * @param to the final state
     * @return the previous state, or null if the present state does not allow the transition
     */
    RequestState transitionToFinal(final RequestState to) {
        while (true) {
            final RequestState from = mState.get();
            if (!from.canTransitionTo(to)) {
                return null;
            }
            if (mState.compareAndSet(from, to)) {
                return from;
            }
        }
    }

    boolean isInFlight() {
        final RequestState state = mState.get();
        return state == RequestState.DISPATCHED || state == RequestState.STREAMING;
    }

    long claimAttempt() {
        return mClaimAttempt;
    }

    void setClaimAttempt(final long attempt) {
        mClaimAttempt = attempt;
    }

    QuarantineGateway.Verdict verdict() {
        return mVerdict;
    }

    void setVerdict(final QuarantineGateway.Verdict verdict) {
        mVerdict = verdict;
    }

    String replica() {
        return mReplica;
    }

    /**
     * Sets the replica and connection that serve the request.
     *
     * @param replica the replica's id
     * @param call the stream connection, null for plain services and while it is not open
     */
    void assignReplica(final String replica, final StreamCall call) {
        mReplica = replica;
        mStreamCall = call;
    }

    void abort() {
        final StreamCall call = mStreamCall;
        if (call != null) {
            call.abort();
        }
    }

    /**
     * Tells whether the stream is paused or broken and waits to be resumed.
     *
     * @return true from the pause or break until the resume
     */
    boolean isPaused() {
        return mPaused;
    }

    void setPaused(final boolean paused) {
        mPaused = paused;
    }

    /**
     * Tells whether the connection of the stream broke; false for a stream that was paused.
     *
     * @return true from the break until the next token
     */
    boolean isBroken() {
        return mBroken;
    }

    void setBroken(final boolean broken) {
        mBroken = broken;
    }

    boolean isCallerDisconnected() {
        return mCallerDisconnected;
    }

    void setCallerDisconnected() {
        mCallerDisconnected = true;
    }

    int countResume() {
        return mResumes.incrementAndGet();
    }

    void recordActivity(final long nowNanos) {
        mLastActivityNanos = nowNanos;
    }

    long lastActivityNanos() {
        return mLastActivityNanos;
    }

    void recordFirstToken(final long nowNanos) {
        mFirstTokenNanos = nowNanos;
    }

    /**
     * Returns the time to the first token.
     *
     * @return nanoseconds since arrival, -1 if there was no token
     */
    long firstTokenNanos() {
        return mFirstTokenNanos == 0 ? -1 : mFirstTokenNanos - mSubmission.arrivalNanos();
    }

    /**
     * Queues a control call, which starts when all earlier ones have succeeded or failed.
     *
     * @param call starts the control call
     */
    synchronized void enqueueControlCall(final Supplier<CompletableFuture<Void>> call) {
        mControlCalls =
                mControlCalls.handle((done, error) -> null).thenCompose(nothing -> call.get());
    }

    /**
     * Returns the description of this request for the scheduler.
     *
     * @return the pending request
     */
    PendingRequest toPendingRequest() {
        final EngineInput input = mSubmission.input().orElse(new EngineInput("", 0, 0, 0, 0, 0));
        final QuarantineGateway.Verdict verdict = mVerdict;
        return new PendingRequest(
                mSubmission.requestId(),
                mSubmission.customer(),
                mSubmission.service().id(),
                mSubmission.tier(),
                mSubmission.arrivalNanos(),
                mSubmission.deadlineNanos(),
                input.promptTokens(),
                input.maxOutputTokens(),
                input.prefixHash(),
                input.prefixTokens(),
                verdict == null ? Set.of() : verdict.excludedReplicas(),
                verdict != null && verdict.isolated());
    }
}
