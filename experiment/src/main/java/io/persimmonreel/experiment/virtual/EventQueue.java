package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.time.TimeSource;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual time. Events of the same time run in the order in which
 * they were added.
 */
public final class EventQueue {
    /** Milliseconds since the Unix epoch at virtual time 0, fixed so that runs can be repeated. */
    public static final long EPOCH_MILLIS = 1_800_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mSequence;

    /**
     * Returns the current virtual time.
     *
     * @return nanoseconds since virtual time 0
     */
    public long nowNanos() {
        return mNowNanos;
    }

    /**
     * Adds an event at a time.
     *
     * @param nanos the virtual time of the event in nanoseconds; a past time counts as now
     * @param action the action to run
     */
    public void scheduleAt(final long nanos, final Runnable action) {
        mEvents.add(new Event(Math.max(nanos, mNowNanos), mSequence++, action));
    }

    /**
     * Adds an event after a delay.
     *
     * @param nanos the delay in nanoseconds
     * @param action the action to run
     */
    public void scheduleAfter(final long nanos, final Runnable action) {
        scheduleAt(mNowNanos + nanos, action);
    }

    /**
     * Runs all events up to and including a time.
     *
     * @param nanos the virtual time in nanoseconds at which to stop
     */
    public void runUntil(final long nanos) {
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= nanos) {
            final Event event = mEvents.poll();
            mNowNanos = event.nanos();
            event.action().run();
        }
        mNowNanos = nanos;
    }

    /**
     * Returns a time source that follows the virtual time of this queue.
     *
     * @param skewMillis the error of the wall clock in milliseconds
     * @return the time source
     */
    public TimeSource timeSource(final long skewMillis) {
        return new TimeSource() {
            @Override
            public long monotonicNanos() {
                return mNowNanos;
            }

            @Override
            public long wallMillis() {
                return EPOCH_MILLIS + mNowNanos / NANOS_PER_MILLI + skewMillis;
            }
        };
    }
}
