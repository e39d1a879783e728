package io.persimmonreel.core.time;

/** Provides the monotonic clock and the wall clock. Implementations are thread safe. */
public interface TimeSource {
    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds since an arbitrary origin, never decreasing
     */
    long monotonicNanos();

    /**
     * Reads the wall clock, which may jump in either direction.
     *
     * @return milliseconds since the Unix epoch
     */
    long wallMillis();
}
