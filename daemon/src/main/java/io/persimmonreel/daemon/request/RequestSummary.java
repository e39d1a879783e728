package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;

/**
 * Summarizes a finished request for objectives and metrics.
 *
 * @param requestId the request's id
 * @param customer the customer's id
 * @param service the service
 * @param tier the effective tier
 * @param abandoned whether the caller disconnected before the end
 * @param answered whether the request ended with a complete answer
 * @param outcome what is known about the execution
 * @param status the HTTP status
 * @param firstTokenNanos the time from arrival to the first token, or to the answer if it was not
 *     streamed; -1 if there was neither
 * @param completeNanos the time from arrival to the end
 * @param tokens the number of output tokens received
 * @param promptTokens the number of prompt tokens sent to an upstream, 0 if the request was not
 *     dispatched
 * @param endNanos the monotonic time of the end
 */
public record RequestSummary(
        String requestId,
        String customer,
        ServiceSpec service,
        Tier tier,
        boolean abandoned,
        boolean answered,
        Outcome outcome,
        int status,
        long firstTokenNanos,
        long completeNanos,
        int tokens,
        int promptTokens,
        long endNanos) {
    /**
     * Tells whether the request counts towards the objective. Requests that the caller abandoned,
     * or that were refused for the caller's own fault or quota, don't.
     *
     * @return true if the request counts
     */
    public boolean countsForObjective() {
        return !abandoned && (answered || status >= 500);
    }

    /**
     * Tells whether the request met its objective.
     *
     * @return true if a complete answer came within all time limits of the objective, or if there
     *     is a complete answer and no objective
     */
    public boolean isWithinObjective() {
        if (!answered || service.objective() == null) {
            return answered;
        }
        final long between = tokens > 1 ? (completeNanos - firstTokenNanos) / (tokens - 1) : 0;
        return firstTokenNanos <= service.objective().firstToken().toNanos()
                && between <= service.objective().betweenTokens().toNanos()
                && completeNanos <= service.objective().complete().toNanos();
    }
}
