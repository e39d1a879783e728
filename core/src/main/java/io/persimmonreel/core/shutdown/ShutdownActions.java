package io.persimmonreel.core.shutdown;

/** Performs the steps of a graceful shutdown. Steps may be repeated. */
public interface ShutdownActions {
    /** Closes the connections on which no request is in progress. */
    void closeIdleConnections();

    /**
     * Starts to close the listening socket. Connections that the operating system has accepted
     * before are still served.
     *
     * @param reason why it is closed, for logs
     */
    void stopListening(CloseReason reason);

    /**
     * Returns whether new connections may still arrive.
     *
     * @return false once the listening socket is closed
     */
    boolean isListening();

    /**
     * Returns whether any request or connection is left.
     *
     * @return true if a request is in progress or a connection is open
     */
    boolean isBusy();

    /** Responds to all remaining requests that they fail, and closes the other connections. */
    void failRemaining();

    /** Ends the process. Nothing can arrive any more, or the grace time is over. */
    void end();
}
