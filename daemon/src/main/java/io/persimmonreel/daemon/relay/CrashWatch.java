package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.replica.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Tells the crash of a replica from a single broken connection: a crash breaks all connections to
 * it within a moment, kept ones included. Not thread safe.
 *
 * @param <T> the type of the attempts that run at replicas
 */
final class CrashWatch<T> {
    /** Connections of a process that ends break within a few milliseconds of each other. */
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    private final Predicate<Replica> mIsConnected;
    private final Map<Replica, Breaks<T>> mBreaks = new HashMap<>();

    /** Holds the attempts that broke at one replica. */
    private static final class Breaks<T> {
        private final long mSinceNanos;
        private final List<T> mAttempts = new ArrayList<>();

        Breaks(final long sinceNanos) {
            mSinceNanos = sinceNanos;
        }
    }

    /** Tells whether a replica still works on an attempt. */
    @FunctionalInterface
    interface RunningAttempts {
        /**
         * Tells whether an attempt runs that was sent before a moment.
         *
         * @param replica the replica
         * @param beforeNanos the moment, as monotonic time in nanoseconds
         * @return whether there is one
         */
        boolean isAnyOlder(Replica replica, long beforeNanos);
    }

    /**
     * Receives a crash.
     *
     * @param <T> the type of the attempts
     */
    @FunctionalInterface
    interface Listener<T> {
        /**
         * Reports a crash.
         *
         * @param replica the replica
         * @param attempts the attempts that ran there
         */
        void onCrash(Replica replica, Collection<T> attempts);
    }

    /**
     * Creates a watch.
     *
     * @param isConnected tells whether a kept connection to a replica is open
     */
    CrashWatch(final Predicate<Replica> isConnected) {
        mIsConnected = isConnected;
    }

    /** Notes that the connection of an attempt broke before its answer was whole. */
    void onBroken(final Replica replica, final T attempt, final long nowNanos) {
        mBreaks.computeIfAbsent(replica, key -> new Breaks<>(nowNanos)).mAttempts.add(attempt);
    }

    /** Reports the replicas at which no older request is left after their breaks. */
    void onTimer(final RunningAttempts running, final long nowNanos, final Listener<T> listener) {
        final Iterator<Map.Entry<Replica, Breaks<T>>> all = mBreaks.entrySet().iterator();
        while (all.hasNext()) {
            final Map.Entry<Replica, Breaks<T>> entry = all.next();
            final Breaks<T> breaks = entry.getValue();
            if (nowNanos - breaks.mSinceNanos < WINDOW_NANOS) {
                continue;
            }
            all.remove();
            if (!mIsConnected.test(entry.getKey())
                    && !running.isAnyOlder(entry.getKey(), breaks.mSinceNanos)) {
                listener.onCrash(entry.getKey(), breaks.mAttempts);
            }
        }
    }
}
