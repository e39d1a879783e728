package io.persimmonreel.core.schedule;

/**
 * Stops requests to a replica after consecutive failures. While open, it lets one request at a time
 * through as a probe, and the wait before the next probe doubles with each failed one.
 */
final class CircuitBreaker {
    private static final int FAILURES_TO_OPEN = 3;
    private static final long INITIAL_OPEN_NANOS = 1_000_000_000L;
    private static final long MAXIMUM_OPEN_NANOS = 30_000_000_000L;

    private int mFailures;
    private boolean mOpen;
    private boolean mProbing;
    private long mProbeAtNanos;
    private long mOpenDurationNanos = INITIAL_OPEN_NANOS;

    boolean isOpen() {
        return mOpen;
    }

    /** Tells whether a request may be sent: always while closed, one probe at a time while open. */
    boolean allows(final long nowNanos) {
        return !mOpen || (!mProbing && nowNanos - mProbeAtNanos >= 0);
    }

    void onDispatch() {
        if (mOpen) {
            mProbing = true;
        }
    }

    /** Ends a probe without a result, because the caller cancelled it. */
    void onCancelled() {
        mProbing = false;
    }

    /**
     * Counts a success.
     *
     * @return true if this success closed the breaker
     */
    boolean onSuccess() {
        final boolean closed = mOpen;
        mFailures = 0;
        mOpen = false;
        mProbing = false;
        mOpenDurationNanos = INITIAL_OPEN_NANOS;
        return closed;
    }

    void onFailure(final long nowNanos) {
        mFailures++;
        if (mOpen && mProbing) {
            mOpenDurationNanos = Math.min(MAXIMUM_OPEN_NANOS, mOpenDurationNanos * 2);
            mProbeAtNanos = nowNanos + mOpenDurationNanos;
        } else if (!mOpen && mFailures >= FAILURES_TO_OPEN) {
            mOpen = true;
            mProbeAtNanos = nowNanos + mOpenDurationNanos;
        }
        mProbing = false;
    }
}
