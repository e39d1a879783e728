package io.persimmonreel.core.peer;

import java.util.Comparator;

/**
 * Identifies a state of the directory.
 *
 * <p>A restore of the directory from an older copy raises the era, and revisions are assigned
 * again. Versions are therefore compared by era first.
 *
 * @param era the number of restores of the directory
 * @param revision the revision within the era, which rises with each write
 */
public record DirectoryVersion(long era, long revision) implements Comparable<DirectoryVersion> {
    /** The version before the first documents. */
    public static final DirectoryVersion NONE = new DirectoryVersion(0, 0);

    private static final Comparator<DirectoryVersion> ORDER =
            Comparator.comparingLong(DirectoryVersion::era)
                    .thenComparingLong(DirectoryVersion::revision);

    @Override
    public int compareTo(final DirectoryVersion other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns whether this version is newer than another.
     *
     * @param other the other version
     * @return true if it is newer, false if it is older or the same
     */
    public boolean isAfter(final DirectoryVersion other) {
        return compareTo(other) > 0;
    }
}
