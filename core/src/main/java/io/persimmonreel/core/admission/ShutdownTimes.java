package io.persimmonreel.core.admission;

/**
 * Holds the times of a shutdown, as monotonic time in nanoseconds.
 *
 * @param balancersReactedNanos when load balancers direct callers to other daemons
 * @param processEndNanos when the process ends
 */
public record ShutdownTimes(long balancersReactedNanos, long processEndNanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Returns the time until the process ends.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds, negative if it is over
     */
    public double millisLeft(final long nowNanos) {
        return (processEndNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /**
     * Limits the time that a caller has left to the end of the process.
     *
     * @param left the time that the caller has left
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the limited time
     */
    public TimeLeft limit(final TimeLeft left, final long nowNanos) {
        return new TimeLeft(
                left.objectiveMillis(),
                left.firstEventMillis(),
                Math.min(left.deadlineMillis(), millisLeft(nowNanos)));
    }
}
