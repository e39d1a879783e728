package io.persimmonreel.daemon.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tracks how current the configuration in force is, for logs and metrics. All methods run on the
 * event loop.
 */
final class ConfigurationMonitor {
    private LongSupplier mDirectorySilentNanos = () -> 0;
    private long mVersion;
    private long mInForceNanos;
    private long mNewestPeerVersion;

    /**
     * Describes how current the configuration was when a decision was made.
     *
     * @param version the version in force, 0 if there is none
     * @param ageMillis the time since that version came into force, in milliseconds
     * @param directorySilentMillis the time since the last response of the directory, in
     *     milliseconds
     * @param newestPeerVersion the newest version that a peer has named, 0 if there is none
     */
    record Snapshot(
            long version, long ageMillis, long directorySilentMillis, long newestPeerVersion) {}

    /**
     * Sets the source of the time since the last response of the directory.
     *
     * @param silentNanos returns the time in nanoseconds
     */
    void observeDirectory(final LongSupplier silentNanos) {
        mDirectorySilentNanos = silentNanos;
    }

    void onInForce(final long version, final long nowNanos) {
        mVersion = version;
        mInForceNanos = nowNanos;
    }

    void onPeerVersion(final long version) {
        mNewestPeerVersion = Math.max(mNewestPeerVersion, version);
    }

    Snapshot snapshot(final long nowNanos) {
        return new Snapshot(
                mVersion,
                mVersion == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - mInForceNanos),
                TimeUnit.NANOSECONDS.toMillis(mDirectorySilentNanos.getAsLong()),
                mNewestPeerVersion);
    }
}
