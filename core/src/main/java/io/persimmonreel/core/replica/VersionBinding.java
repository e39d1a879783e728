package io.persimmonreel.core.replica;

import java.util.Objects;
import java.util.Optional;

/**
 * Binds a request to a software version. A stream whose first event was sent may go on only at the
 * version that wrote it; before that, a version may be assigned to it. Not thread safe.
 */
public final class VersionBinding {
    private String mBound;
    private String mAssigned;
    private long mGeneration = -1;

    /**
     * Binds the request; a request that is bound stays bound to the first version.
     *
     * @param version the software version
     */
    public void bind(final String version) {
        Objects.requireNonNull(version, "version");
        if (mBound == null) {
            mBound = version;
        }
    }

    /**
     * Returns whether the request is bound to a version.
     *
     * @return false if its first event was not sent
     */
    public boolean isBound() {
        return mBound != null;
    }

    /**
     * Assigns a version until the replicas change.
     *
     * @param version the software version, or empty for any
     * @param generation the number of changes of the replicas so far
     */
    public void assign(final Optional<String> version, final long generation) {
        mAssigned = version.orElse(null);
        mGeneration = generation;
    }

    /**
     * Returns whether the assigned version is out of date.
     *
     * @param generation the number of changes of the replicas so far
     * @return false if the request is bound or nothing changed since the assignment
     */
    public boolean needsAssignment(final long generation) {
        return mBound == null && mGeneration != generation;
    }

    /**
     * Returns the version.
     *
     * @return the version at which the request may run, or empty if it may run at any
     */
    public Optional<String> version() {
        return Optional.ofNullable(mBound == null ? mAssigned : mBound);
    }

    /**
     * Returns whether the request may run at a replica.
     *
     * @param entry the entry of the replica
     * @return true if the replica has the version, or the request has none
     */
    public boolean admits(final ReplicaEntry entry) {
        return version().map(entry.version()::equals).orElse(true);
    }
}
