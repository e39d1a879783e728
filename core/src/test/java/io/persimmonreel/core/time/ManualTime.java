package io.persimmonreel.core.time;

import java.time.Duration;

/** Provides clocks for tests that move only when {@link #advance} is called. */
public final class ManualTime implements TimeSource {
    private static final long START_WALL_MILLIS = 1_775_000_000_000L;

    private volatile long mNanos;

    public void advance(final Duration step) {
        mNanos += step.toNanos();
    }

    @Override
    public long monotonicNanos() {
        return mNanos;
    }

    @Override
    public long wallMillis() {
        return START_WALL_MILLIS + mNanos / 1_000_000;
    }
}
