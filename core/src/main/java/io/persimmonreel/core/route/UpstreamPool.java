package io.persimmonreel.core.route;

import java.util.Optional;

/**
 * Describes an upstream whose replicas serve relayed requests.
 *
 * @param name the name
 * @param healthPath the path of the health check
 * @param maximumConnections the most connections that a replica accepts from all daemons together
 * @param engine what is known of its engines, empty for plain services
 */
public record UpstreamPool(
        String name, String healthPath, int maximumConnections, Optional<EngineProfile> engine) {}
