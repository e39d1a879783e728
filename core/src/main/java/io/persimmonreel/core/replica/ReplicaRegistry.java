package io.persimmonreel.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds all known replicas by id and by upstream.
 *
 * <p>Readers see an immutable snapshot that writers replace (copy-on-write). A replica that
 * restarts under its old id is a new replica without measurements.
 */
public final class ReplicaRegistry {
    private volatile Snapshot mSnapshot = new Snapshot(Map.of(), Map.of());

    /**
     * Replaces the set of replicas. Replicas that were known before keep their measurements.
     *
     * @param entries the entries of all current replicas
     */
    public synchronized void replace(final Collection<ReplicaEntry> entries) {
        final Map<String, Replica> before = mSnapshot.byId();
        final Map<String, Replica> byId = new HashMap<>();
        final Map<String, List<Replica>> byUpstream = new HashMap<>();
        for (final ReplicaEntry entry : entries) {
            final Replica replica = reuseOrCreate(before.get(entry.id()), entry);
            byId.put(entry.id(), replica);
            byUpstream.computeIfAbsent(entry.upstream(), name -> new ArrayList<>()).add(replica);
        }
        mSnapshot = new Snapshot(byId, byUpstream);
    }

    /**
     * Returns the replicas of an upstream.
     *
     * @param upstream the upstream's name
     * @return the replicas, draining ones included
     */
    public List<Replica> ofUpstream(final String upstream) {
        return mSnapshot.byUpstream().getOrDefault(upstream, List.of());
    }

    /**
     * Returns the replicas of each upstream.
     *
     * @return the current replicas by the upstream's name
     */
    public Map<String, List<Replica>> byUpstream() {
        return mSnapshot.byUpstream();
    }

    /**
     * Finds a replica by its id.
     *
     * @param id the replica's id
     * @return the replica, or empty if it is unknown
     */
    public Optional<Replica> find(final String id) {
        return Optional.ofNullable(mSnapshot.byId().get(id));
    }

    /**
     * Returns all replicas.
     *
     * @return the current replicas
     */
    public Collection<Replica> all() {
        return mSnapshot.byId().values();
    }

    private static Replica reuseOrCreate(final Replica known, final ReplicaEntry entry) {
        if (known == null
                || known.entry().startedMillis() != entry.startedMillis()
                || !known.entry().address().equals(entry.address())) {
            return new Replica(entry);
        }
        known.update(entry);
        return known;
    }

    private record Snapshot(Map<String, Replica> byId, Map<String, List<Replica>> byUpstream) {}
}
