package io.persimmonreel.core.config;

import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.UpstreamSpec;
import java.util.Map;
import java.util.Optional;

/**
 * Holds a configuration that passed all checks. Instances are immutable.
 *
 * @param version the version given by the configuration service, at least 1
 * @param digest SHA-256 of the text, 64 lower-case hexadecimal digits
 * @param text the operator text
 * @param fleet the fleet of daemons
 * @param customers the customers by id
 * @param upstreams the upstreams by id
 * @param services the services by id
 * @param loadsPerMinute the loads per minute that the weight store allows the whole fleet
 */
public record Configuration(
        long version,
        String digest,
        String text,
        FleetSpec fleet,
        Map<String, CustomerSpec> customers,
        Map<String, UpstreamSpec> upstreams,
        Map<String, ServiceSpec> services,
        int loadsPerMinute) {
    /** Copies the maps. */
    public Configuration {
        customers = Map.copyOf(customers);
        upstreams = Map.copyOf(upstreams);
        services = Map.copyOf(services);
    }

    /**
     * Finds a service.
     *
     * @param id the service's id
     * @return the service, or empty if it is not configured
     */
    public Optional<ServiceSpec> service(final String id) {
        return Optional.ofNullable(services.get(id));
    }

    /**
     * Returns the upstream that runs a service.
     *
     * @param service a service of this configuration
     * @return its upstream, never null
     */
    public UpstreamSpec upstreamOf(final ServiceSpec service) {
        return upstreams.get(service.upstream());
    }
}
