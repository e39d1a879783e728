package io.persimmonreel.core.route;

/** Distinguishes routes by the kind of response and by whether a request may be sent again. */
public enum ResendRule {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request must run at most once for each attempt of the caller. */
    AT_MOST_ONCE,
    /** The response is an event stream that other replicas do not continue. */
    STREAM,
    /** The response is an event stream that another replica can continue after a given event. */
    RESUMABLE_STREAM;

    /**
     * Returns whether a request may be sent again after it may have run.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean allowsResend() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /**
     * Returns whether the response is an event stream.
     *
     * @return true for event streams
     */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
