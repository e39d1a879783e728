package io.persimmonreel.experiment.ownership;

import java.util.function.Consumer;

/** Handles requests so that none with the same idempotency key runs twice. */
interface AtMostOnceMethod {
    /** The time that an upstream takes to run a request. */
    long RUN_NANOS = 500_000_000L;

    /**
     * Called when a daemon process has started.
     *
     * @param daemon the process
     */
    void onStart(DaemonProcess daemon);

    /**
     * Creates the key of a new request.
     *
     * @param daemon the daemon that issues the key, null if callers create the keys
     * @param wallMillis the time of the caller's wall clock
     * @return the key
     */
    String newKey(DaemonProcess daemon, long wallMillis);

    /**
     * Handles a request at the daemon that received it.
     *
     * @param daemon the daemon
     * @param key the request's idempotency key
     * @param reply receives true if the caller gets the answer, false if not
     */
    void handle(DaemonProcess daemon, String key, Consumer<Boolean> reply);
}
