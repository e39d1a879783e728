package io.persimmonreel.core.peer;

/** Sends messages to other daemons without blocking. A message may be lost. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message to one daemon.
     *
     * @param to the receiving incarnation
     * @param message the message
     */
    void send(Incarnation to, PeerMessage message);
}
