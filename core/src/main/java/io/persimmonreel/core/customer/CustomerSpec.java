package io.persimmonreel.core.customer;

import java.util.List;

/**
 * Describes a customer as configured in the accepted operator text.
 *
 * @param id the customer's id
 * @param keyDigests SHA-256 digests of the accepted keys, 64 lower-case hexadecimal digits each
 * @param share the weight in fair sharing among customers, at least 1
 * @param maximumConcurrent the largest number of requests in progress on one daemon
 * @param requestsPerSecond the largest rate of requests over the whole fleet
 */
public record CustomerSpec(
        String id,
        List<String> keyDigests,
        int share,
        int maximumConcurrent,
        double requestsPerSecond) {
    /** Copies the list of digests. */
    public CustomerSpec {
        keyDigests = List.copyOf(keyDigests);
    }
}
