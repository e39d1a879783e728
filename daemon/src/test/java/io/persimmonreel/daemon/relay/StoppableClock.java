package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.time.SystemTimeSource;

/** A clock that can be stopped, so that no period ends any more. */
final class StoppableClock implements TimeSource {
    private final SystemTimeSource mTime = new SystemTimeSource();
    private volatile boolean mStopped;
    private volatile long mStoppedNanos;

    void stop() {
        mStoppedNanos = mTime.monotonicNanos();
        mStopped = true;
    }

    @Override
    public long monotonicNanos() {
        return mStopped ? mStoppedNanos : mTime.monotonicNanos();
    }

    @Override
    public long wallMillis() {
        return mTime.wallMillis();
    }
}
