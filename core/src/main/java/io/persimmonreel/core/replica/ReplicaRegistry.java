package io.persimmonreel.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds all known replicas by id and by upstream.
 *
 * <p>Readers see an immutable snapshot that writers replace (copy-on-write). A replica that
 * restarts under its old id is a new replica without measurements. A replica whose entry is gone
 * for a while keeps what it said about taking requests. The evacuation of an availability zone
 * holds for all its replicas, also for those that are added later.
 */
public final class ReplicaRegistry {
    /** The maximum number of starts of replicas that are remembered without an entry. */
    private static final int MAXIMUM_ABSENT = 4_096;

    private final Map<Start, ReplicaAvailability> mAbsent =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        final Map.Entry<Start, ReplicaAvailability> eldest) {
                    return size() > MAXIMUM_ABSENT;
                }
            };

    private volatile Set<String> mEvacuatedZones = Set.of();
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
            replica.onEvacuated(isEvacuated(entry));
            byId.put(entry.id(), replica);
            byUpstream.computeIfAbsent(entry.upstream(), name -> new ArrayList<>()).add(replica);
        }
        rememberAbsent(before, byId);
        mSnapshot = new Snapshot(byId, byUpstream);
    }

    /**
     * Replaces the set of evacuated availability zones.
     *
     * @param zones the zones whose replicas get no requests
     */
    public synchronized void evacuate(final Set<String> zones) {
        mEvacuatedZones = Set.copyOf(zones);
        all().forEach(replica -> replica.onEvacuated(isEvacuated(replica.entry())));
    }

    /**
     * Returns the evacuated availability zones.
     *
     * @return the zones whose replicas get no requests
     */
    public Set<String> evacuatedZones() {
        return mEvacuatedZones;
    }

    /**
     * Returns whether the availability zone of a replica is evacuated. This also holds for an entry
     * that was replaced since, for example by a restart.
     *
     * @param entry the entry of the replica
     * @return true if no request may be sent to it
     */
    public boolean isEvacuated(final ReplicaEntry entry) {
        return mEvacuatedZones.contains(entry.zone());
    }

    /**
     * Returns whether the end of an evacuation has to come before an upstream takes requests.
     *
     * @param upstream the upstream's name
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if some of its replicas are evacuated, and all others are draining or leaving
     */
    public boolean awaitsEvacuationEnd(final String upstream, final long nowNanos) {
        final List<Replica> replicas = ofUpstream(upstream);
        return replicas.stream().anyMatch(Replica::isEvacuated)
                && replicas.stream().allMatch(r -> Double.isInfinite(r.waitMillis(nowNanos)));
    }

    /**
     * Returns the replicas of an upstream.
     *
     * @param upstream the upstream's name
     * @return the replicas, draining and evacuated ones included
     */
    public List<Replica> ofUpstream(final String upstream) {
        return mSnapshot.byUpstream().getOrDefault(upstream, List.of());
    }

    /**
     * Returns the replicas of an upstream that a request may run at.
     *
     * @param upstream the upstream's name
     * @param binding the software version to which the request is bound
     * @return the replicas, draining and evacuated ones included
     */
    public List<Replica> candidates(final String upstream, final VersionBinding binding) {
        final List<Replica> replicas = ofUpstream(upstream);
        return binding.version().isPresent()
                ? replicas.stream().filter(replica -> binding.admits(replica.entry())).toList()
                : replicas;
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

    private Replica reuseOrCreate(final Replica known, final ReplicaEntry entry) {
        if (known == null || !Start.of(known.entry()).equals(Start.of(entry))) {
            final ReplicaAvailability availability = mAbsent.remove(Start.of(entry));
            return availability == null ? new Replica(entry) : new Replica(entry, availability);
        }
        known.update(entry);
        return known;
    }

    private void rememberAbsent(
            final Map<String, Replica> before, final Map<String, Replica> current) {
        before.forEach(
                (id, replica) -> {
                    if (current.get(id) != replica
                            && Start.isKnown(replica.entry())
                            && replica.availability().wasStated()) {
                        mAbsent.put(Start.of(replica.entry()), replica.availability());
                    }
                });
    }

    /** Identifies one start of a replica. */
    private record Start(String id, long startedMillis, String address, String version) {
        static Start of(final ReplicaEntry entry) {
            return new Start(entry.id(), entry.startedMillis(), entry.address(), entry.version());
        }

        /** Returns whether a later start can be told from this one. */
        static boolean isKnown(final ReplicaEntry entry) {
            return entry.startedMillis() != 0;
        }
    }

    private record Snapshot(Map<String, Replica> byId, Map<String, List<Replica>> byUpstream) {}
}
