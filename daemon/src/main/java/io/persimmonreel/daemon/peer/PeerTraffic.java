package io.persimmonreel.daemon.peer;

/** Observes the messages that a daemon exchanges with others. */
public interface PeerTraffic {
    /** Observes nothing. */
    PeerTraffic NONE = new PeerTraffic() {};

    /**
     * Handles a message that was encoded for some peers.
     *
     * @param type the type of the message
     * @param bytes the size of its frame
     * @param recipients the number of peers to which it is sent
     */
    default void onSent(final Class<?> type, final int bytes, final int recipients) {}

    /**
     * Handles a message that was received and applied.
     *
     * @param type the type of the message
     * @param bytes the size of its frame
     * @param nanos the time in nanoseconds to decode and apply it
     */
    default void onReceived(final Class<?> type, final int bytes, final long nanos) {}
}
