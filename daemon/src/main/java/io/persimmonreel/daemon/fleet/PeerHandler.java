package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;

/** Handles messages from peers that {@link FleetNode} does not handle itself. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a message, or ignores it if it belongs to another handler.
     *
     * @param from the peer that sent it
     * @param message the message
     */
    void onMessage(Incarnation from, PeerMessage message);
}
