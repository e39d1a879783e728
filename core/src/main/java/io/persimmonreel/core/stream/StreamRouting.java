package io.persimmonreel.core.stream;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import java.util.Collection;
import java.util.function.LongConsumer;

/** Connects the exchange of stream origins with peers and with the directory. */
public interface StreamRouting {
    /**
     * Returns the peers that are told where a stream begins, and that are asked for it.
     *
     * @param stream the key of the stream
     * @return the peers, empty if this daemon has none or keeps the stream itself
     */
    Collection<Incarnation> holders(long stream);

    /**
     * Returns whether this daemon passes on what a peer sends.
     *
     * @param peer the peer
     * @return true for a hub that receives from a leaf
     */
    boolean isForwardedFor(Incarnation peer);

    /**
     * Sends a message to a peer, which may be lost.
     *
     * @param peer the peer
     * @param transfer the message
     */
    void send(Incarnation peer, StreamTransfer transfer);

    /**
     * Waits until this daemon knows all changes that the directory has now.
     *
     * @param onConfirmed receives the monotonic time in nanoseconds at which it does; it is not
     *     called if the directory does not respond
     */
    void confirm(LongConsumer onConfirmed);

    /**
     * Returns whether a daemon may be cut off from this one, or was lately.
     *
     * @return false if all daemons are heard that run
     */
    boolean isAnyCutOff();

    /** Requests a call of {@link StreamExchange#flush} soon. */
    void requestFlush();
}
