package io.persimmonreel.daemon.time;

import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Calls listeners in virtual time, which moves only in {@link #advance}. Not thread safe. */
public final class VirtualTimers implements TimerService, TimeSource {
    private final PriorityQueue<Call> mCalls =
            new PriorityQueue<>(
                    Comparator.comparingLong(Call::dueNanos).thenComparingLong(Call::number));
    private long mNowNanos;
    private long mCallCount;

    /** Holds one call that is due; equal times are called in the order of their numbers. */
    private record Call(long dueNanos, long number, Runnable action) {}

    /** Moves the time and makes the calls that become due. */
    public void advance(final Duration step) {
        final long endNanos = mNowNanos + step.toNanos();
        while (!mCalls.isEmpty() && mCalls.peek().dueNanos() <= endNanos) {
            final Call call = mCalls.poll();
            mNowNanos = call.dueNanos();
            call.action().run();
        }
        mNowNanos = endNanos;
    }

    @Override
    public Subscription every(
            final String name, final Duration interval, final TimerListener listener) {
        final Call[] next = new Call[1];
        final Runnable[] action = new Runnable[1];
        action[0] =
                () -> {
                    next[0] = schedule(interval, action[0]);
                    listener.onTimer(mNowNanos);
                };
        next[0] = schedule(interval, action[0]);
        return () -> mCalls.remove(next[0]);
    }

    @Override
    public Subscription after(
            final String name, final Duration delay, final TimerListener listener) {
        final Call call = schedule(delay, () -> listener.onTimer(mNowNanos));
        return () -> mCalls.remove(call);
    }

    @Override
    public long monotonicNanos() {
        return mNowNanos;
    }

    @Override
    public long wallMillis() {
        return mNowNanos / 1_000_000;
    }

    private Call schedule(final Duration delay, final Runnable action) {
        final Call call = new Call(mNowNanos + delay.toNanos(), mCallCount++, action);
        mCalls.add(call);
        return call;
    }
}
