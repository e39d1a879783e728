package io.persimmonreel.core.request;

import java.util.Locale;

/** Lists the kinds of failures of a request, with the HTTP status and title of each. */
public enum ProblemType {
    BAD_REQUEST(400, "The request is malformed"),
    UNAUTHORIZED(401, "The customer key is not known"),
    UNKNOWN_SERVICE(404, "The service is not configured"),
    KEY_IN_PROGRESS(409, "A request with this key is in progress"),
    BODY_TOO_LARGE(413, "The request body is too large"),
    KEY_REUSED(422, "The key was used with another body"),
    QUARANTINED(422, "The request content crashed upstreams"),
    QUOTA_EXCEEDED(429, "The customer's quota is used up"),
    KEY_REQUIRED(400, "The service needs an idempotency key"),
    KEY_EXPIRED(410, "The idempotency key is too old"),
    UPSTREAM_FAILED(502, "The upstream failed"),
    OUTCOME_UNKNOWN(502, "The outcome of the request is not known"),
    ANSWER_LOST(410, "The request ran but its answer is no longer held"),
    NO_CAPACITY(503, "No capacity before the deadline"),
    DEADLINE_UNREACHABLE(503, "The deadline can't be met"),
    DEPENDENCY_UNAVAILABLE(503, "A service that this one depends on is not available"),
    CLAIM_UNAVAILABLE(503, "Too few members can confirm that the request did not run before"),
    SHUTTING_DOWN(503, "The daemon is shutting down"),
    NOT_READY(503, "The daemon has no accepted configuration");

    private final int mStatus;
    private final String mTitle;

    ProblemType(final int status, final String title) {
        mStatus = status;
        mTitle = title;
    }

    /**
     * Returns the HTTP status code.
     *
     * @return a status code between 400 and 599
     */
    public int status() {
        return mStatus;
    }

    /**
     * Returns the title of the problem document.
     *
     * @return one short sentence
     */
    public String title() {
        return mTitle;
    }

    /**
     * Returns the type URI reference of the problem document.
     *
     * @return the reference, such as {@code /problems/no-capacity}
     */
    public String uri() {
        return "/problems/" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
