package io.persimmonreel.daemon.refusal;

import java.util.Objects;

/**
 * Describes a refused request whose route is known.
 *
 * @param id the attempt id that the caller gave
 * @param route the name of the route
 * @param upstream the upstream that would have served it
 * @param customer the name of the customer, empty if the route requires no API key
 * @param rank the priority rank, 0 is the highest
 * @param units the units that it takes from the customer's quota
 * @param promptTokens the prompt tokens, 0 for a plain service
 * @param outputTokens the estimated output tokens, 0 for a plain service
 * @param waitedMillis the time since it arrived in milliseconds
 * @param objectiveLeftMillis the time in milliseconds within which it would be on time, negative if
 *     it is late
 * @param leftMillis the time until the caller's deadline in milliseconds
 */
public record RefusedRequest(
        String id,
        String route,
        String upstream,
        String customer,
        int rank,
        long units,
        int promptTokens,
        int outputTokens,
        double waitedMillis,
        double objectiveLeftMillis,
        double leftMillis) {
    /** Checks that the names are given. */
    public RefusedRequest {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(customer, "customer");
    }
}
