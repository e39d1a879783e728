package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.time.TimeSource;

/** Provides the clocks of one simulated host, whose wall clock can be made to jump. */
final class VirtualClock implements TimeSource {
    private final TimeSource mAccurate;
    private long mWallOffsetMillis;

    VirtualClock(final EventQueue queue) {
        mAccurate = queue.timeSource(0L);
    }

    /** Moves the wall clock forwards, or backwards if negative. */
    void jumpWallClock(final long millis) {
        mWallOffsetMillis += millis;
    }

    @Override
    public long monotonicNanos() {
        return mAccurate.monotonicNanos();
    }

    @Override
    public long wallMillis() {
        return mAccurate.wallMillis() + mWallOffsetMillis;
    }
}
