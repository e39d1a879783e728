package io.persimmonreel.core.quarantine;

/**
 * States whether a request may be sent, given the evidence against the parts of its prompt.
 *
 * @param kind whether the request may be sent
 * @param retryAfterMillis the time until the refusal ends, in milliseconds, 0 if it is not refused
 */
public record PartDecision(Kind kind, long retryAfterMillis) {
    /** The decision on a request without refused parts. */
    public static final PartDecision ALLOW = new PartDecision(Kind.ALLOW, 0);

    static final PartDecision TRIAL = new PartDecision(Kind.TRIAL, 0);

    /** Distinguishes the decisions. */
    public enum Kind {
        /** The request may be sent. */
        ALLOW,
        /** The request may be sent as the only one with a refused part, to try that part again. */
        TRIAL,
        /** The request is refused because one of its parts crashes replicas. */
        REFUSE
    }

    static PartDecision refuse(final long retryAfterMillis) {
        return new PartDecision(Kind.REFUSE, retryAfterMillis);
    }
}
