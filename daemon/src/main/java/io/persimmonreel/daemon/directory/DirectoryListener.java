package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import java.util.Collection;
import java.util.Set;

/** Receives the configuration and the replicas when they change. */
public interface DirectoryListener {
    /**
     * Reports a newer configuration.
     *
     * @param configuration the configuration
     */
    void onConfiguration(RelayConfiguration configuration);

    /**
     * Reports that replicas were added, changed or removed.
     *
     * @param entries the entries of all replicas
     */
    void onReplicas(Collection<ReplicaEntry> entries);

    /**
     * Reports that a zone was evacuated or taken back.
     *
     * @param zones the availability zones to whose replicas no requests may be sent
     */
    default void onEvacuatedZones(final Set<String> zones) {}
}
