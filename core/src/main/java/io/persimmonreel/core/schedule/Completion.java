package io.persimmonreel.core.schedule;

/** States how the dispatch of a request to a replica ended. */
public enum Completion {
    /** The whole response arrived. */
    ANSWERED,
    /** The replica responded with an error. */
    FAILED,
    /**
     * The connection was refused, or failed before any byte was sent; the request may be dispatched
     * again.
     */
    NOT_SENT,
    /** The connection broke during the response; the stream may be resumed. */
    BROKEN,
    /** The caller disconnected and the request was cancelled. */
    CANCELLED
}
