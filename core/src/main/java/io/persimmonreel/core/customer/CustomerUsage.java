package io.persimmonreel.core.customer;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts one customer's requests in progress on this daemon, and keeps its token bucket. The bucket
 * is stored as the time at which it will be full again, so one compare-and-set takes a token.
 */
final class CustomerUsage {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The longest time between two tokens, so that very low rates don't overflow. */
    private static final double MAXIMUM_INTERVAL_NANOS = 3_600e9;

    private final AtomicInteger mInProgress = new AtomicInteger();
    private final AtomicLong mFullAtNanos;

    CustomerUsage(final long nowNanos) {
        mFullAtNanos = new AtomicLong(nowNanos);
    }

    boolean tryStart(final int maximum) {
        int current;
        do {
            current = mInProgress.get();
            if (current >= maximum) {
                return false;
            }
        } while (!mInProgress.compareAndSet(current, current + 1));
        return true;
    }

    void end() {
        mInProgress.updateAndGet(n -> Math.max(0, n - 1));
    }

    int inProgress() {
        return mInProgress.get();
    }

    /**
     * Takes one token if there is one.
     *
     * @param nowNanos the present monotonic time
     * @param perSecond the number of tokens that the bucket gains per second
     * @param burstSeconds the time in which an empty bucket fills up
     * @return 0 if a token was taken, else the milliseconds until there is one
     */
    long tryTakeToken(final long nowNanos, final double perSecond, final double burstSeconds) {
        final long interval = (long) Math.min(NANOS_PER_SECOND / perSecond, MAXIMUM_INTERVAL_NANOS);
        final long capacity = Math.max(interval, (long) (burstSeconds * NANOS_PER_SECOND));
        long current;
        long next;
        do {
            current = mFullAtNanos.get();
            // After the rate was raised, the debt can exceed the new, shorter time to fill up.
            final long debt = Math.min(Math.max(0, current - nowNanos), capacity);
            if (debt + interval > capacity) {
                final long wait = debt + interval - capacity;
                return (wait + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
            }
            next = nowNanos + debt + interval;
        } while (!mFullAtNanos.compareAndSet(current, next));
        return 0;
    }
}
