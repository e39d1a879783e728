package io.persimmonreel.core.explain;

import io.persimmonreel.core.request.Step;

/**
 * Describes one decision of a daemon.
 *
 * @param wallMillis the time of the decision in milliseconds since the Unix epoch
 * @param requestId the request's id, empty if the decision is not about one request
 * @param step the step of request handling in which the decision was made
 * @param decision what was decided, in one or two words
 * @param subject the daemon, replica, service or version that the decision is about, may be empty
 * @param reason the reason, in one short sentence
 */
public record DecisionRecord(
        long wallMillis,
        String requestId,
        Step step,
        String decision,
        String subject,
        String reason) {}
