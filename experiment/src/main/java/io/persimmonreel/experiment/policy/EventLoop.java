package io.persimmonreel.experiment.policy;

import java.util.PriorityQueue;

/** Runs events in the order of virtual time; simultaneous events run in the order of scheduling. */
final class EventLoop {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mSequence;

    private record Event(long timeNanos, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int time = Long.compare(timeNanos, other.timeNanos);
            return time != 0 ? time : Long.compare(sequence, other.sequence);
        }
    }

    long nowNanos() {
        return mNowNanos;
    }

    /** Schedules an action; a time in the past means now. */
    void scheduleAt(final long timeNanos, final Runnable action) {
        mEvents.add(new Event(Math.max(timeNanos, mNowNanos), mSequence++, action));
    }

    void scheduleAfter(final long delayNanos, final Runnable action) {
        scheduleAt(mNowNanos + delayNanos, action);
    }

    /** Repeats an action at an interval, from {@code firstNanos} to {@code lastNanos}. */
    void scheduleEvery(
            final long firstNanos,
            final long intervalNanos,
            final long lastNanos,
            final Runnable action) {
        if (firstNanos <= lastNanos) {
            scheduleAt(
                    firstNanos,
                    () -> {
                        action.run();
                        scheduleEvery(firstNanos + intervalNanos, intervalNanos, lastNanos, action);
                    });
        }
    }

    /** Runs all events up to a time, it included. */
    void runUntil(final long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().timeNanos() <= endNanos) {
            final Event event = mEvents.poll();
            mNowNanos = event.timeNanos();
            event.action().run();
        }
    }
}
