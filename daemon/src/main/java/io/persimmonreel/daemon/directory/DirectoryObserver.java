package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.stream.PastReplica;
import java.util.Collection;

/** Observes which replicas the directory has had, and how current the known state is. */
public interface DirectoryObserver {
    /** Observes nothing. */
    DirectoryObserver NONE = new DirectoryObserver() {};

    /**
     * Reports an entry that was read, also if it is removed in the same change. Called before
     * {@link DirectoryListener#onReplicas}.
     *
     * @param entry the entry of a replica
     */
    default void onEntry(ReplicaEntry entry) {}

    /**
     * Reports that all documents are replaced, so that changes since the last ones may be unknown.
     * Called before the documents are applied.
     */
    default void onSnapshot() {}

    /**
     * Reports that all changes that the directory had at a time are applied.
     *
     * @param nanos the monotonic time in nanoseconds
     * @param wallMillis the same time by the wall clock, in milliseconds
     */
    default void onCurrent(long nanos, long wallMillis) {}

    /**
     * Reports replicas that were listed before the first documents were read.
     *
     * @param replicas the replicas, current ones included
     * @param sinceNanos the monotonic time in nanoseconds since when they are complete
     */
    default void onHistory(final Collection<PastReplica> replicas, final long sinceNanos) {}
}
