package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.RequestIdentity;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the state of one attempt of this daemon to claim a request identity. A transition is a
 * compare-and-set on the phase, so only one of several concurrent transitions succeeds.
 */
final class Attempt {
    /** Lists the phases of an attempt. */
    enum Phase {
        CLAIMING,
        CLAIMED,
        DISPATCHED,
        FINISHED,
        /** Ended without a claim; will never be dispatched. */
        ABANDONED,
        /** Gave up its claim before dispatch; will never be dispatched. */
        RENOUNCED
    }

    /**
     * Holds the phase of an attempt and its result.
     *
     * @param phase the phase
     * @param outcome the outcome of a finished attempt, else null
     * @param status the HTTP status of a finished attempt that ran, else 0
     * @param sinceNanos the monotonic time at which the phase began
     */
    record State(Phase phase, Outcome outcome, int status, long sinceNanos) {
        boolean isFinal() {
            return phase == Phase.FINISHED || phase == Phase.ABANDONED || phase == Phase.RENOUNCED;
        }
    }

    private final long mNumber;
    private final String mRequestId;
    private final RequestIdentity mIdentity;
    private final String mContentDigest;
    private final long mDeadlineNanos;
    private final List<Incarnation> mAskedMembers;
    private final AtomicReference<State> mState;

    Attempt(
            final long number,
            final String requestId,
            final RequestIdentity identity,
            final String contentDigest,
            final long deadlineNanos,
            final List<Incarnation> askedMembers,
            final long nowNanos) {
        mNumber = number;
        mRequestId = requestId;
        mIdentity = identity;
        mContentDigest = contentDigest;
        mDeadlineNanos = deadlineNanos;
        mAskedMembers = askedMembers;
        mState = new AtomicReference<>(new State(Phase.CLAIMING, null, 0, nowNanos));
    }

    boolean transition(final Phase from, final Phase to, final long nowNanos) {
        return transition(from, new State(to, null, 0, nowNanos));
    }

    boolean finish(final Outcome outcome, final int status, final long nowNanos) {
        return transition(Phase.DISPATCHED, new State(Phase.FINISHED, outcome, status, nowNanos));
    }

    private boolean transition(final Phase from, final State to) {
        final State state = mState.get();
        return state.phase() == from && mState.compareAndSet(state, to);
    }

    State state() {
        return mState.get();
    }

    Phase phase() {
        return mState.get().phase();
    }

    long number() {
        return mNumber;
    }

    String requestId() {
        return mRequestId;
    }

    RequestIdentity identity() {
        return mIdentity;
    }

    String contentDigest() {
        return mContentDigest;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    List<Incarnation> askedMembers() {
        return mAskedMembers;
    }
}
