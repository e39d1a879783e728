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
 */
final class CrashWatch {
    /** Connections of a process that ends break within a few milliseconds of each other. */
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    private final Predicate<Replica> mIsConnected;
    private final Map<Replica, Breaks> mBreaks = new HashMap<>();

    /** Holds the attempts that broke at one replica. */
    private static final class Breaks {
        private final long mSinceNanos;
        private final List<RelayCall> mCalls = new ArrayList<>();

        Breaks(final long sinceNanos) {
            mSinceNanos = sinceNanos;
        }
    }

    /** Receives a crash. */
    interface Listener {
        /**
         * Reports a crash.
         *
         * @param replica the replica
         * @param calls the attempts that ran there
         */
        void onCrash(Replica replica, Collection<RelayCall> calls);
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
    void onBroken(final RelayCall call, final long nowNanos) {
        mBreaks.computeIfAbsent(call.replica(), replica -> new Breaks(nowNanos)).mCalls.add(call);
    }

    /** Reports the replicas at which no older request is left after their breaks. */
    void onTimer(final Collection<RelayCall> active, final long nowNanos, final Listener listener) {
        final Iterator<Map.Entry<Replica, Breaks>> all = mBreaks.entrySet().iterator();
        while (all.hasNext()) {
            final Map.Entry<Replica, Breaks> entry = all.next();
            final Breaks breaks = entry.getValue();
            if (nowNanos - breaks.mSinceNanos < WINDOW_NANOS) {
                continue;
            }
            all.remove();
            if (!mIsConnected.test(entry.getKey())
                    && active.stream().noneMatch(call -> ranBefore(call, entry.getKey(), breaks))) {
                listener.onCrash(entry.getKey(), breaks.mCalls);
            }
        }
    }

    private static boolean ranBefore(
            final RelayCall call, final Replica replica, final Breaks breaks) {
        return call.replica() == replica
                && call.isAtReplica()
                && call.sending().sentNanos() - breaks.mSinceNanos < 0;
    }
}
