package io.persimmonreel.daemon.upstream;

/** Classifies a failed request to an upstream by whether it was sent and may have been executed. */
public enum UpstreamFault {
    /** No byte of the request was written; the request may be dispatched again. */
    NOT_SENT,
    /** The replica responded with an error status. */
    REJECTED,
    /** The connection broke or the response ended early; the request may have been executed. */
    BROKEN,
    /** No response came in time; the request may have been executed. */
    TIMED_OUT,
    /** The response is invalid: wrong id, gap, repeat, wrong length or malformed. */
    INVALID_RESPONSE
}
