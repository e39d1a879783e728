package io.persimmonreel.daemon.upstream;

/**
 * Decides whether a request may be sent, after the connection is open and before the first byte.
 */
@FunctionalInterface
public interface DispatchGate {
    /**
     * Marks the request as dispatched if it may still be sent. Called at most once per request.
     *
     * @return true if the request may be sent and now counts as dispatched, false if nothing must
     *     be written
     */
    boolean tryDispatch();
}
