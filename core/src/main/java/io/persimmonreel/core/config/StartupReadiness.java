package io.persimmonreel.core.config;

import io.persimmonreel.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Decides when a starting daemon is ready, and says what it waits for. It is ready once it has an
 * accepted configuration and knows of no higher version, after it has listened to the peers that it
 * can reach. A daemon that is ready stays so, because an accepted configuration is never withdrawn.
 */
public final class StartupReadiness {
    /** A peer that can be reached is heard within four heartbeats of 500 ms. */
    static final long PEER_LISTEN_NANOS = 2_000_000_000L;

    private static final double NANOS_PER_MILLI = 1_000_000.0;

    private final TimeSource mTime;
    private final ConfigurationState mState;
    private final long mStartNanos;
    private final Map<String, PeerStatus> mPeers = new ConcurrentHashMap<>();
    private final AtomicBoolean mReady = new AtomicBoolean();
    private volatile String mServiceError = "no answer yet";

    /**
     * Holds what is known of a peer.
     *
     * @param heard whether a heartbeat arrived
     * @param version the highest version of its heartbeats
     * @param digest the digest of that version
     */
    private record PeerStatus(boolean heard, long version, String digest) {}

    /**
     * Creates the readiness check; to be called when the process starts.
     *
     * @param time the clocks
     * @param state the configuration of this daemon
     */
    public StartupReadiness(final TimeSource time, final ConfigurationState state) {
        mTime = time;
        mState = state;
        mStartNanos = time.monotonicNanos();
    }

    /**
     * Adds a peer to listen to, from the settings or the host list.
     *
     * @param peer the peer's address
     */
    public void expectPeer(final String peer) {
        mPeers.putIfAbsent(peer, new PeerStatus(false, 0, ""));
    }

    /**
     * Notes a heartbeat of a peer.
     *
     * @param peer the peer's address
     * @param version the peer's accepted version, 0 if none
     * @param digest the digest of the peer's accepted text
     */
    public void heardPeer(final String peer, final long version, final String digest) {
        mPeers.put(peer, new PeerStatus(true, version, digest));
    }

    /**
     * Notes that a peer is dead, leaving or not reachable, so that its version can't be requested.
     *
     * @param peer the peer's address
     */
    public void lostPeer(final String peer) {
        mPeers.remove(peer);
    }

    /** Notes an answer of the configuration service. */
    public void serviceAnswered() {
        mServiceError = "";
    }

    /**
     * Notes that reading from the configuration service failed.
     *
     * @param reason what failed, a short phrase
     */
    public void serviceFailed(final String reason) {
        mServiceError = reason;
    }

    /**
     * Tells whether the daemon may serve requests.
     *
     * @return true once the daemon waits for nothing; it stays true
     */
    public boolean isReady() {
        if (!mReady.get() && unmetConditions().isEmpty()) {
            mReady.set(true);
        }
        return mReady.get();
    }

    /**
     * Describes what the daemon waits for.
     *
     * @return short sentences, none if the daemon is ready
     */
    public List<String> waitingFor() {
        return isReady() ? List.of() : unmetConditions();
    }

    private List<String> unmetConditions() {
        final List<String> conditions = new ArrayList<>();
        final Optional<Configuration> accepted = mState.accepted();
        if (accepted.isEmpty()) {
            conditions.add(missingConfiguration());
        }
        mPeers.forEach((peer, status) -> addPeerCondition(conditions, peer, status));
        mState.higherFence()
                .ifPresent(
                        fence ->
                                conditions.add(
                                        "Waits for configuration version "
                                                + fence
                                                + ", which an engine reports as its fence."));
        return conditions;
    }

    private String missingConfiguration() {
        final StringBuilder condition =
                new StringBuilder("Waits for an accepted configuration from ")
                        .append("the configuration service or a peer.");
        if (!mServiceError.isEmpty()) {
            condition.append(" Configuration service: ").append(mServiceError).append('.');
        }
        mState.rejections().stream()
                .findFirst()
                .ifPresent(
                        r ->
                                condition
                                        .append(" Version ")
                                        .append(r.version())
                                        .append(" was rejected: ")
                                        .append(r.findings().get(0))
                                        .append('.'));
        return condition.toString();
    }

    private void addPeerCondition(
            final List<String> conditions, final String peer, final PeerStatus status) {
        if (!status.heard()) {
            final long left = PEER_LISTEN_NANOS - (mTime.monotonicNanos() - mStartNanos);
            if (left > 0) {
                final long millis = (long) Math.ceil(left / NANOS_PER_MILLI);
                conditions.add("Listens to peer " + peer + " for at most " + millis + " ms more.");
            }
        } else if (status.version() > mState.version()
                && !mState.isRejected(status.version(), status.digest())) {
            conditions.add(
                    "Waits for configuration version "
                            + status.version()
                            + " from peer "
                            + peer
                            + ".");
        }
    }
}
