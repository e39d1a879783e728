package io.persimmonreel.core.service;

import java.util.List;

/**
 * Describes an upstream as the operator text defines it.
 *
 * @param id the upstream's id
 * @param kind whether its replicas are model engines or plain services
 * @param checksFencing whether the upstream refuses an order with an outdated fencing token
 * @param checksKeys whether the upstream refuses to run a request with an idempotency key that it
 *     ran before
 * @param model the model to load, empty for plain services
 * @param modelVersion the model version to load, empty for plain services
 * @param replicas the replicas, at least one
 */
public record UpstreamSpec(
        String id,
        UpstreamKind kind,
        boolean checksFencing,
        boolean checksKeys,
        String model,
        String modelVersion,
        List<ReplicaSpec> replicas) {
    /** Copies the list of replicas. */
    public UpstreamSpec {
        replicas = List.copyOf(replicas);
    }
}
