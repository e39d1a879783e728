package io.persimmonreel.daemon.time;

import io.persimmonreel.core.time.TimeSource;

/** Reads the monotonic and the wall clock of the operating system. */
public final class SystemTimeSource implements TimeSource {
    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
