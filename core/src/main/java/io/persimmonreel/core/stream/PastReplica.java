package io.persimmonreel.core.stream;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.Optional;

/**
 * Describes a period in the past in which a replica was listed.
 *
 * @param id the id of the replica
 * @param entry its entry, empty if it is not known
 * @param listedMillis the latest time at which it was listed anew, milliseconds since the Unix
 *     epoch
 * @param leftMillis the latest time at which it was ready, milliseconds since the Unix epoch
 */
public record PastReplica(
        String id, Optional<ReplicaEntry> entry, long listedMillis, long leftMillis) {}
