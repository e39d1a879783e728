package io.persimmonreel.core.route;

/** Tells what may be repeated of the requests on a route. */
public enum RepeatRule {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request runs at most once for each client attempt. */
    AT_MOST_ONCE,
    /** The response is an event stream that is not continued elsewhere. */
    STREAM,
    /** The response is an event stream that another replica can continue after a known event. */
    RESUMABLE_STREAM;

    /**
     * Tells whether a request may be sent again although it may have run.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isRepeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /**
     * Tells whether the response is a stream of events.
     *
     * @return true for streams
     */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
