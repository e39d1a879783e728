package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.peer.PeerMessage.DirectoryRequest;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.daemon.directory.DirectoryState;
import io.persimmonreel.daemon.directory.DirectoryWatch;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when to ask a peer for a copy of the directory: if the directory does not respond and the
 * peer has newer documents, or if a restored directory lacks the configuration of the peer. A peer
 * of an older era is not asked. All methods run on the event loop.
 */
final class DirectoryExchange {
    /** A copy is requested if the directory did not respond for this time. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** The minimum time between two requests. */
    private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /**
     * The minimum time between two requests for a configuration that the directory lacks. A
     * configuration that this daemon can't read would be requested again and again.
     */
    private static final long LOST_CONFIGURATION_INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(2_000);

    private final DirectoryState mState;
    private final DirectoryWatch mWatch;
    private long mLastRequestNanos;

    DirectoryExchange(final DirectoryState state, final DirectoryWatch watch) {
        mState = state;
        mWatch = watch;
    }

    /** Returns the request to the sender of a digest, or empty if none is needed. */
    Optional<DirectoryRequest> requestFor(final RelayDigest digest, final long nowNanos) {
        final DirectoryVersion version = digest.directory();
        if (mState.isOlderEra(version.era())) {
            return Optional.empty();
        }
        final boolean isBehind =
                mState.isNewer(version) || digest.configVersion() > mState.configurationVersion();
        final boolean isSilent =
                mState.version().equals(DirectoryVersion.NONE)
                        || mWatch.silentNanos() > SILENCE_NANOS;
        final boolean isLost = mState.lacksConfiguration(version, digest.configVersion());
        final long sinceLastNanos = nowNanos - mLastRequestNanos;
        if ((isBehind && isSilent && sinceLastNanos > REQUEST_INTERVAL_NANOS)
                || (isLost && sinceLastNanos > LOST_CONFIGURATION_INTERVAL_NANOS)) {
            mLastRequestNanos = nowNanos;
            return Optional.of(mState.request());
        }
        return Optional.empty();
    }

    void onCopy(final DirectoryCopy copy) {
        mWatch.onCopy(copy);
    }
}
