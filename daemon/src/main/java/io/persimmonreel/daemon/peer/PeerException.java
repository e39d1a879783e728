package io.persimmonreel.daemon.peer;

import io.persimmonreel.core.request.Step;

/** Thrown for a malformed or unauthenticated message, or if an address can't be bound. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step mStep;
    private final String mPeer;

    /**
     * Creates an exception.
     *
     * @param step the step at which the error occurred
     * @param peer the address or incarnation of the peer, or another short description
     * @param detail what is wrong, one short sentence
     * @param cause the cause, may be null
     */
    public PeerException(
            final Step step, final String peer, final String detail, final Throwable cause) {
        super(step.label() + ": " + peer + ": " + detail, cause);
        mStep = step;
        mPeer = peer;
    }

    /**
     * Returns the step at which the error occurred.
     *
     * @return the step
     */
    public Step step() {
        return mStep;
    }

    /**
     * Returns the peer.
     *
     * @return the address or incarnation of the peer, or another short description
     */
    public String peer() {
        return mPeer;
    }
}
