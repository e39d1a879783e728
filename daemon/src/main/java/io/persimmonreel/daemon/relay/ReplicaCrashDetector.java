package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.replica.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Distinguishes the crash of a replica from a single broken connection: a crash breaks all
 * connections to the replica at nearly the same time, idle ones included. Not thread safe.
 *
 * @param <T> the type of the requests that run at replicas
 */
final class ReplicaCrashDetector<T> {
    /**
     * The time to wait after the last broken connection; the connections of a process that ends
     * break within a few milliseconds of each other.
     */
    private static final long DETECTION_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    /** The maximum time to wait, for a daemon that reads the breaks of one crash slowly. */
    private static final long MAXIMUM_DETECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Predicate<Replica> mHasOpenConnection;

    /** In the order of the first breaks, in which crashes are reported. */
    private final Map<Replica, BrokenRequests<T>> mBrokenByReplica = new LinkedHashMap<>();

    /** Holds the requests whose connections to one replica broke. */
    private static final class BrokenRequests<T> {
        private final long mFirstBreakNanos;
        private final List<T> mRequests = new ArrayList<>();
        private long mLastBreakNanos;

        BrokenRequests(final long firstBreakNanos) {
            mFirstBreakNanos = firstBreakNanos;
        }

        void add(final T request, final long nowNanos) {
            mRequests.add(request);
            mLastBreakNanos = nowNanos;
        }

        boolean isComplete(final long nowNanos) {
            return nowNanos - mLastBreakNanos >= DETECTION_WINDOW_NANOS
                    || nowNanos - mFirstBreakNanos >= MAXIMUM_DETECTION_NANOS;
        }
    }

    /** Looks up requests that still run at a replica. */
    @FunctionalInterface
    interface RunningRequests {
        /**
         * Returns whether a request is running that was sent before a given time.
         *
         * @param replica the replica
         * @param beforeNanos the time, as monotonic time in nanoseconds
         * @return whether there is such a request
         */
        boolean hasOlderRequest(Replica replica, long beforeNanos);
    }

    /**
     * Receives detected crashes.
     *
     * @param <T> the type of the requests
     */
    @FunctionalInterface
    interface Listener<T> {
        /**
         * Reports a crash.
         *
         * @param replica the replica
         * @param requests the requests that ran there
         * @param crashNanos the time of the first break, as monotonic time in nanoseconds
         */
        void onCrash(Replica replica, Collection<T> requests, long crashNanos);
    }

    /**
     * Creates a detector.
     *
     * @param hasOpenConnection tells whether an idle connection to a replica is still open
     */
    ReplicaCrashDetector(final Predicate<Replica> hasOpenConnection) {
        mHasOpenConnection = hasOpenConnection;
    }

    /** Records that the connection of a request broke before its response was complete. */
    void onBroken(final Replica replica, final T request, final long nowNanos) {
        mBrokenByReplica
                .computeIfAbsent(replica, key -> new BrokenRequests<>(nowNanos))
                .add(request, nowNanos);
    }

    /**
     * Reports a crash of each replica that, after the detection window, has neither an open idle
     * connection nor a running request that was sent before the first break.
     */
    void onTimer(final RunningRequests running, final long nowNanos, final Listener<T> listener) {
        final Iterator<Map.Entry<Replica, BrokenRequests<T>>> entries =
                mBrokenByReplica.entrySet().iterator();
        while (entries.hasNext()) {
            final Map.Entry<Replica, BrokenRequests<T>> entry = entries.next();
            final BrokenRequests<T> broken = entry.getValue();
            if (!broken.isComplete(nowNanos)) {
                continue;
            }
            entries.remove();
            if (!mHasOpenConnection.test(entry.getKey())
                    && !running.hasOlderRequest(entry.getKey(), broken.mFirstBreakNanos)) {
                listener.onCrash(entry.getKey(), broken.mRequests, broken.mFirstBreakNanos);
            }
        }
    }
}
