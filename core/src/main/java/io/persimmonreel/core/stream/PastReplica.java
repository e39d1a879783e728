package io.persimmonreel.core.stream;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.Optional;

/**
 * Describes a replica that was listed in the past.
 *
 * @param id the id of the replica
 * @param entry its entry, empty if it is not known
 * @param leftMillis the latest time at which it was ready, milliseconds since the Unix epoch
 */
public record PastReplica(String id, Optional<ReplicaEntry> entry, long leftMillis) {}
