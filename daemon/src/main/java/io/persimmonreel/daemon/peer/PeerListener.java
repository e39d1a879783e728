package io.persimmonreel.daemon.peer;

import io.persimmonreel.core.peer.PeerMessage;

/** Receives events of a {@link PeerTransport}. Called on several threads; must not block. */
public interface PeerListener {
    /**
     * Called when a peer is connected and authenticated.
     *
     * @param peer the peer
     */
    void onConnected(PeerIdentity peer);

    /**
     * Called when a message was received.
     *
     * @param from the peer that sent the message
     * @param message the message
     */
    void onMessage(PeerIdentity from, PeerMessage message);

    /**
     * Called when the last connection to a peer has closed.
     *
     * @param peer the peer
     */
    void onDisconnected(PeerIdentity peer);
}
