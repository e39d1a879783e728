package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import java.util.Collection;

/** Receives what the directory holds. */
public interface DirectoryListener {
    /**
     * Reports a newer configuration.
     *
     * @param configuration the configuration
     */
    void onConfiguration(RelayConfiguration configuration);

    /**
     * Reports a change of the replicas.
     *
     * @param entries all replicas
     */
    void onReplicas(Collection<ReplicaEntry> entries);
}
