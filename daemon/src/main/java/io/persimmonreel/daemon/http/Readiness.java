package io.persimmonreel.daemon.http;

import java.util.List;

/** Tells whether the daemon is ready to take requests. */
@FunctionalInterface
public interface Readiness {
    /**
     * Returns what the daemon waits for.
     *
     * @return short descriptions, empty if the daemon is ready
     */
    List<String> waitingFor();

    /**
     * Tells whether the daemon is ready.
     *
     * @return true if requests may be taken
     */
    default boolean isReady() {
        return waitingFor().isEmpty();
    }
}
