package io.persimmonreel.daemon.upstream;

/** Represents an open stream to a replica, which can be aborted. */
public interface StreamCall {
    /** Closes the connection. The listener is not called again. */
    void abort();
}
