package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the peers from which a daemon heard recently, and the collectors that follow from them.
 *
 * <p>What is derived is kept until a peer joins, leaves or falls silent, so that its cost does not
 * grow with the messages. Not thread safe.
 */
public final class HeardPeers {
    private final long mSilenceNanos;
    private final Map<Incarnation, Heard> mPeers = new HashMap<>();
    private final Map<String, Optional<Incarnation>> mCollectors = new HashMap<>();
    private Map<String, Incarnation> mRecent;
    private long mFirstHeardNanos;
    private HubTopology mTopology;

    /** Holds what was last heard from a peer. */
    private record Heard(String address, long nanos) {}

    /**
     * Creates an empty set of peers.
     *
     * @param silenceNanos the time in nanoseconds after which a peer is silent
     */
    public HeardPeers(final long silenceNanos) {
        mSilenceNanos = silenceNanos;
    }

    /**
     * Records a message of a peer.
     *
     * @param peer the peer
     * @param address its address
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onHeard(final Incarnation peer, final String address, final long nowNanos) {
        mPeers.put(peer, new Heard(address, nowNanos));
        if (mRecent != null && !peer.equals(mRecent.get(address))) {
            mRecent = null;
        }
    }

    /**
     * Forgets a peer.
     *
     * @param peer the peer
     */
    public void forget(final Incarnation peer) {
        mPeers.remove(peer);
        mRecent = null;
    }

    /**
     * Returns the peers that are not silent.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the peers by their address
     */
    public Map<String, Incarnation> recent(final long nowNanos) {
        if (mRecent == null || nowNanos - mFirstHeardNanos > mSilenceNanos) {
            update(nowNanos);
        }
        return mRecent;
    }

    /**
     * Returns the peer to which a daemon passes what is collected for a key.
     *
     * @param topology the topology of the fleet
     * @param key the key
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the peer, empty if this daemon collects it itself or hears no collector
     */
    public Optional<Incarnation> collector(
            final HubTopology topology, final String key, final long nowNanos) {
        final Map<String, Incarnation> recent = recent(nowNanos);
        if (topology != mTopology) {
            mTopology = topology;
            mCollectors.clear();
        }
        return mCollectors.computeIfAbsent(
                key, name -> topology.collector(name, recent.keySet()).map(recent::get));
    }

    private void update(final long nowNanos) {
        final Map<String, Incarnation> recent = new HashMap<>();
        long first = nowNanos;
        for (final Map.Entry<Incarnation, Heard> entry : mPeers.entrySet()) {
            final Heard heard = entry.getValue();
            if (nowNanos - heard.nanos() <= mSilenceNanos) {
                recent.put(heard.address(), entry.getKey());
                first = Math.min(first, heard.nanos());
            }
        }
        mRecent = Map.copyOf(recent);
        mFirstHeardNanos = first;
        mCollectors.clear();
    }
}
