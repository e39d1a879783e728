package io.persimmonreel.daemon.request;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamSpec;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Finds replicas by id in the present and the previous configuration. The previous one is kept
 * because requests in progress may still run on its replicas.
 */
public final class ReplicaDirectory {
    private record Snapshot(Map<String, ReplicaSpec> present, Map<String, ReplicaSpec> previous) {}

    private final AtomicReference<Snapshot> mSnapshot =
            new AtomicReference<>(new Snapshot(Map.of(), Map.of()));

    /**
     * Applies an accepted configuration.
     *
     * @param configuration the configuration
     */
    public void configure(final Configuration configuration) {
        final Map<String, ReplicaSpec> present = new HashMap<>();
        for (final UpstreamSpec upstream : configuration.upstreams().values()) {
            for (final ReplicaSpec replica : upstream.replicas()) {
                present.put(replica.id(), replica);
            }
        }
        final Map<String, ReplicaSpec> snapshot = Map.copyOf(present);
        mSnapshot.updateAndGet(last -> new Snapshot(snapshot, last.present()));
    }

    /**
     * Finds a replica.
     *
     * @param id the replica's id
     * @return the replica, or empty if neither of the last two configurations has it
     */
    public Optional<ReplicaSpec> find(final String id) {
        final Snapshot snapshot = mSnapshot.get();
        return Optional.ofNullable(
                snapshot.present().getOrDefault(id, snapshot.previous().get(id)));
    }
}
