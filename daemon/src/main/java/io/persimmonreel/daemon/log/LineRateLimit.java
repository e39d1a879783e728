package io.persimmonreel.daemon.log;

import java.util.concurrent.TimeUnit;

/** Limits the number of lines of one kind in each second. Thread safe. */
public final class LineRateLimit {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final int mLinesPerSecond;
    private long mWindowStartNanos;
    private int mLinesInWindow;

    /**
     * Creates a limit.
     *
     * @param linesPerSecond the maximum number of lines in one second
     */
    public LineRateLimit(final int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /**
     * Takes one line from the limit.
     *
     * @param nowNanos the time in nanoseconds of the monotonic clock
     * @return whether the line may be written
     */
    public synchronized boolean tryAcquire(final long nowNanos) {
        if (nowNanos - mWindowStartNanos >= WINDOW_NANOS) {
            mWindowStartNanos = nowNanos;
            mLinesInWindow = 0;
        }
        return ++mLinesInWindow <= mLinesPerSecond;
    }
}
