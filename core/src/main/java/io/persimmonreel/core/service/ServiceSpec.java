package io.persimmonreel.core.service;

import java.time.Duration;
import java.util.List;

/**
 * Describes a service as the operator text defines it.
 *
 * @param id the service's id
 * @param upstream the id of the upstream that runs it
 * @param tier the tier of its requests
 * @param idempotent whether its requests are idempotent, so that they may run more than once
 * @param dependsOn the ids of the services that it calls directly
 * @param deadline the maximum time that a request may take
 * @param maximumBodyBytes the maximum size of a request body in bytes
 * @param maximumOutputTokens the maximum number of tokens of a response, 0 for plain services
 * @param objective the service-level objective
 */
public record ServiceSpec(
        String id,
        String upstream,
        Tier tier,
        boolean idempotent,
        List<String> dependsOn,
        Duration deadline,
        int maximumBodyBytes,
        int maximumOutputTokens,
        ObjectiveSpec objective) {
    /** Copies the list of dependencies. */
    public ServiceSpec {
        dependsOn = List.copyOf(dependsOn);
    }
}
