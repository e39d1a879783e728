package io.persimmonreel.core.order;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Says which model each replica should have loaded. It is derived from the accepted configuration
 * alone, so all daemons with the same version agree on it.
 *
 * @param version the version of the configuration, 0 if there is none
 * @param orders the order that makes each replica load its desired model, by replica id
 * @param upstreams the ids of the replicas of each engine upstream, by upstream id
 * @param loadsPerMinute the most loads per minute from the weight store, over the whole fleet
 * @param clockSkew the largest difference between any two clocks
 */
public record DesiredState(
        long version,
        Map<String, EngineOrder> orders,
        Map<String, List<String>> upstreams,
        int loadsPerMinute,
        Duration clockSkew) {
    /** The desired state before there is a configuration. */
    public static final DesiredState NONE =
            new DesiredState(0, Map.of(), Map.of(), 1, Duration.ZERO);

    private static final String LOAD = "load";

    /** Copies the maps. */
    public DesiredState {
        orders = Map.copyOf(orders);
        upstreams = Map.copyOf(upstreams);
    }

    /**
     * Derives the desired state.
     *
     * @param configuration the accepted configuration
     * @return the desired state of all replicas of engines
     */
    public static DesiredState of(final Configuration configuration) {
        final Map<String, EngineOrder> orders = new HashMap<>();
        final Map<String, List<String>> upstreams = new HashMap<>();
        for (final UpstreamSpec upstream : configuration.upstreams().values()) {
            if (upstream.kind() == UpstreamKind.ENGINE && !upstream.replicas().isEmpty()) {
                upstreams.put(
                        upstream.id(), upstream.replicas().stream().map(ReplicaSpec::id).toList());
                for (final ReplicaSpec replica : upstream.replicas()) {
                    orders.put(replica.id(), order(configuration.version(), upstream, replica));
                }
            }
        }
        return new DesiredState(
                configuration.version(),
                orders,
                upstreams,
                configuration.loadsPerMinute(),
                configuration.fleet().clockSkew());
    }

    private static EngineOrder order(
            final long version, final UpstreamSpec upstream, final ReplicaSpec replica) {
        return new EngineOrder(
                replica.id(),
                replica.address(),
                LOAD,
                upstream.model(),
                upstream.modelVersion(),
                version);
    }

    /**
     * Finds the order for a replica.
     *
     * @param replica the replica's id
     * @return the order, or empty if the replica is not an engine of the configuration
     */
    public Optional<EngineOrder> order(final String replica) {
        return Optional.ofNullable(orders.get(replica));
    }
}
