package io.persimmonreel.core.schedule;

import io.persimmonreel.core.service.Tier;
import java.util.Set;

/**
 * Describes a request that the daemon hands to the scheduler.
 *
 * @param requestId the request's id, unique on the daemon
 * @param customer the customer's id
 * @param service the service's id
 * @param tier the effective tier
 * @param arrivalNanos the monotonic time of arrival
 * @param deadlineNanos the monotonic time by which the whole response is due
 * @param promptTokens the length of the prompt in tokens, 0 for plain services
 * @param maximumOutputTokens the largest number of output tokens, 0 for plain services
 * @param prefixHash the hash of the shared prompt prefix, 0 if there is none
 * @param prefixTokens the length of the shared prefix in tokens
 * @param excludedReplicas replicas that must not run the request
 * @param isolated whether the request must not share a replica with another isolated request
 */
public record PendingRequest(
        String requestId,
        String customer,
        String service,
        Tier tier,
        long arrivalNanos,
        long deadlineNanos,
        int promptTokens,
        int maximumOutputTokens,
        long prefixHash,
        int prefixTokens,
        Set<String> excludedReplicas,
        boolean isolated) {
    /** Copies the set of excluded replicas. */
    public PendingRequest {
        excludedReplicas = Set.copyOf(excludedReplicas);
    }
}
