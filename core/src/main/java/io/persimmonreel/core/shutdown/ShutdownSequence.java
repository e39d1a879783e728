package io.persimmonreel.core.shutdown;

import io.persimmonreel.core.admission.ShutdownTimes;
import java.util.Objects;

/**
 * Decides when a daemon that is shutting down closes its listening socket and ends.
 *
 * <p>Load balancers may send connections to a leaving daemon until the process is gone, so a daemon
 * without requests is not done: the next one may be on its way. It first closes its listening
 * socket, serves what arrived until then, and ends once nothing is left. Not thread safe.
 */
public final class ShutdownSequence {
    private final ShutdownTimes mTimes;
    private final ShutdownActions mActions;
    private boolean mStoppedListening;
    private boolean mEnded;

    /**
     * Creates a sequence that has not begun.
     *
     * @param times the times of the shutdown, not null
     * @param actions performs the steps, not null
     */
    public ShutdownSequence(final ShutdownTimes times, final ShutdownActions actions) {
        mTimes = Objects.requireNonNull(times, "times");
        mActions = Objects.requireNonNull(actions, "actions");
    }

    /**
     * Performs the steps that are due. Nothing is done after the end.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        if (mEnded) {
            return;
        }
        if (nowNanos - mTimes.processEndNanos() >= 0) {
            failRemaining();
        } else if (nowNanos - mTimes.balancersReactedNanos() >= 0) {
            mActions.closeIdleConnections();
            if (!mActions.isBusy()) {
                stopListening(CloseReason.IDLE);
            }
        }
        if (mStoppedListening && !mActions.isListening() && !mActions.isBusy()) {
            mEnded = true;
            mActions.end();
        }
    }

    /** Fails what is left because the process ends now. */
    public void failRemaining() {
        stopListening(CloseReason.TIME_OVER);
        mActions.failRemaining();
    }

    private void stopListening(final CloseReason reason) {
        if (!mStoppedListening) {
            mStoppedListening = true;
            mActions.stopListening(reason);
        }
    }
}
