package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;

/**
 * Compares versions of documents with the version in use and with the newest era that is known from
 * a response of the directory or a copy of a peer. Not thread-safe.
 */
final class DirectoryEras {
    private DirectoryVersion mVersion = DirectoryVersion.NONE;
    private long mKnownEra;
    private long mKnownEraNanos;
    private boolean mWasRestored;
    private long mRestoredNanos;

    /** Returns the version in use. */
    DirectoryVersion version() {
        return mVersion;
    }

    long knownEra() {
        return mKnownEra;
    }

    /** Returns when the first response of the newest known era arrived. */
    long knownEraNanos() {
        return mKnownEraNanos;
    }

    boolean hasDocuments() {
        return !mVersion.equals(DirectoryVersion.NONE);
    }

    void onEra(final long era, final long nowNanos) {
        if (era > mKnownEra) {
            mKnownEra = era;
            mKnownEraNanos = nowNanos;
        }
    }

    /** Returns whether an era is older than the newest known one, unless there are no documents. */
    boolean isOlderEra(final long era) {
        return era < mKnownEra && hasDocuments();
    }

    boolean isNewer(final DirectoryVersion version) {
        return version.isAfter(mVersion) && !isOlderEra(version.era());
    }

    boolean isOutdated(final DirectoryVersion version) {
        return mVersion.isAfter(version) || isOlderEra(version.era());
    }

    /** Returns whether documents would be the first ones of a restored directory. */
    boolean isRestore(final DirectoryVersion version) {
        return hasDocuments() && version.era() > mVersion.era();
    }

    /** Returns whether documents are of the era in use, and the directory was ever restored. */
    boolean isInRestoredEra(final DirectoryVersion version) {
        return version.era() > 0 && version.era() == mVersion.era();
    }

    void use(final DirectoryVersion version, final long nowNanos) {
        onEra(version.era(), nowNanos);
        if (isRestore(version)) {
            mWasRestored = true;
            mRestoredNanos = nowNanos;
        }
        mVersion = version;
    }

    /** Returns whether documents of the era in use were applied for the first time recently. */
    boolean wasRestoredWithin(final long nanos, final long nowNanos) {
        return mWasRestored && nowNanos - mRestoredNanos < nanos;
    }
}
