package io.persimmonreel.fakes;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the reads per second; each waiting watch counts as one read in every second. */
final class ReadRateLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000;

    private final int mMaximumReadsPerSecond;
    private final Deque<Long> mReadTimesNanos = new ArrayDeque<>();
    private int mWaitingWatches;

    ReadRateLimiter(final int maximumReadsPerSecond) {
        mMaximumReadsPerSecond = maximumReadsPerSecond;
    }

    /** Counts one read; returns false instead if the limit is reached. */
    synchronized boolean tryRead(final long nowNanos) {
        while (!mReadTimesNanos.isEmpty()
                && nowNanos - mReadTimesNanos.peekFirst() >= WINDOW_NANOS) {
            mReadTimesNanos.removeFirst();
        }
        if (mReadTimesNanos.size() + mWaitingWatches >= mMaximumReadsPerSecond) {
            return false;
        }
        mReadTimesNanos.addLast(nowNanos);
        return true;
    }

    synchronized void watchStarted() {
        mWaitingWatches++;
    }

    synchronized void watchEnded() {
        mWaitingWatches--;
    }
}
