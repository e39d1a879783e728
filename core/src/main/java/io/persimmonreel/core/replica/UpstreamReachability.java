package io.persimmonreel.core.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects upstreams of which this daemon can't reach most replicas. This may be a fault of the
 * daemon's links or of the upstream; only what peers report can tell the two apart.
 *
 * <p>Used by the event loop only, except for {@link #unreachableCount}.
 */
public final class UpstreamReachability {
    private final ReplicaRegistry mReplicas;
    private final Listener mListener;
    private final Map<String, Long> mLostNanos = new HashMap<>();
    private boolean mHasFailures;

    /** Receives the begin and the end of the time in which most replicas are unreachable. */
    public interface Listener {
        /**
         * Called when most replicas of an upstream have become unreachable.
         *
         * @param upstream the upstream's name
         * @param unreachable the number of unreachable replicas
         * @param replicas the number of replicas that are not withdrawn
         */
        void onLost(String upstream, int unreachable, int replicas);

        /**
         * Called when most replicas can be reached again, or no failure is recent.
         *
         * @param upstream the upstream's name
         * @param nanos the time since {@link #onLost} in nanoseconds
         */
        void onRestored(String upstream, long nanos);
    }

    /**
     * Creates a detector.
     *
     * @param replicas the known replicas
     * @param listener receives the changes
     */
    public UpstreamReachability(final ReplicaRegistry replicas, final Listener listener) {
        mReplicas = replicas;
        mListener = listener;
    }

    /** Records that a connection to some replica could not be opened. */
    public void onUnreachable() {
        mHasFailures = true;
    }

    /**
     * Looks for changes. Does nothing while no connection has failed lately.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        if (!mHasFailures) {
            return;
        }
        mReplicas
                .byUpstream()
                .forEach((upstream, replicas) -> update(upstream, replicas, nowNanos));
        for (final String upstream : List.copyOf(mLostNanos.keySet())) {
            if (mReplicas.ofUpstream(upstream).isEmpty()) {
                restore(upstream, nowNanos);
            }
        }
        mHasFailures = unreachableCount(nowNanos) > 0;
    }

    /**
     * Returns whether this daemon can't reach most replicas of an upstream.
     *
     * @param upstream the upstream's name
     * @return true if this was so at the last call of {@link #onTimer}
     */
    public boolean isLost(final String upstream) {
        return mLostNanos.containsKey(upstream);
    }

    /**
     * Counts the replicas that this daemon could not reach lately.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the replicas of all upstreams
     */
    public int unreachableCount(final long nowNanos) {
        return (int)
                mReplicas.all().stream()
                        .filter(replica -> replica.health().isUnreachable(nowNanos))
                        .count();
    }

    private void update(final String upstream, final List<Replica> replicas, final long nowNanos) {
        int unreachable = 0;
        int total = 0;
        for (final Replica replica : replicas) {
            if (!replica.isWithdrawn()) {
                total++;
                unreachable += replica.health().isUnreachable(nowNanos) ? 1 : 0;
            }
        }
        if (2 * unreachable <= total) {
            restore(upstream, nowNanos);
        } else if (mLostNanos.putIfAbsent(upstream, nowNanos) == null) {
            mListener.onLost(upstream, unreachable, total);
        }
    }

    private void restore(final String upstream, final long nowNanos) {
        final Long lostNanos = mLostNanos.remove(upstream);
        if (lostNanos != null) {
            mListener.onRestored(upstream, nowNanos - lostNanos);
        }
    }
}
