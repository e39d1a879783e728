package io.persimmonreel.core.request;

import java.util.Objects;

/**
 * Describes the failure of a request for the problem document that its caller receives.
 *
 * @param type the kind of failure
 * @param detail what happened, in one short sentence
 * @param outcome what is known about the execution of the request
 * @param requestId the request's id, empty if it has none yet
 * @param retryAfterMillis the time after which to retry, 0 if a retry does not help
 * @param step the step of the request at which the failure occurred
 * @param peer the daemon or replica at which the failure occurred, empty for this daemon
 */
public record Problem(
        ProblemType type,
        String detail,
        Outcome outcome,
        String requestId,
        long retryAfterMillis,
        Step step,
        String peer) {
    /** Checks that no component is null. */
    public Problem {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(peer, "peer");
    }
}
