package io.persimmonreel.core.schedule;

import io.persimmonreel.core.schedule.TrackedRequest.Phase;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import java.util.List;

/**
 * Chooses which streams are paused to free slots for higher tiers. Callers hold the scheduler's
 * lock.
 */
final class StreamPauser {
    /** A stream that was paused this often keeps its slot, so that long responses finish. */
    static final int MAXIMUM_PAUSES = 4;

    private final UpstreamKind mKind;
    private int mPausableBulkStreams;

    StreamPauser(final UpstreamKind kind) {
        mKind = kind;
    }

    /** Sets how many bulk streams may be paused without falling below the bulk minimum. */
    void pausableBulkStreams(final int count) {
        mPausableBulkStreams = count;
    }

    /**
     * Finds the stream to pause at a replica.
     *
     * @param replica the replica
     * @param tier the tier that needs the slot
     * @return the stream of the lowest tier with the fewest pauses, or null if there is none
     */
    TrackedRequest streamToPause(final ReplicaState replica, final Tier tier) {
        if (mKind == UpstreamKind.PLAIN) {
            return null;
        }
        TrackedRequest found = null;
        final List<TrackedRequest> running = replica.running();
        for (int i = 0; i < running.size(); i++) {
            final TrackedRequest stream = running.get(i);
            if (tier.isHigherThan(stream.tier())
                    && stream.mPauses < MAXIMUM_PAUSES
                    && isPausable(stream)
                    && !(stream.tier() == Tier.BULK && mPausableBulkStreams <= 0)
                    && isBetter(stream, found)) {
                found = stream;
            }
        }
        return found;
    }

    private static boolean isBetter(final TrackedRequest stream, final TrackedRequest found) {
        if (found == null) {
            return true;
        }
        final int tiers = stream.tier().compareTo(found.tier());
        return tiers > 0
                || (tiers == 0
                        && (stream.mPauses < found.mPauses
                                || (stream.mPauses == found.mPauses
                                        && stream.request().deadlineNanos()
                                                > found.request().deadlineNanos())));
    }

    /** Tells whether a stream can be paused: it runs at an engine and its prefill is done. */
    boolean isPausable(final TrackedRequest stream) {
        return mKind == UpstreamKind.ENGINE
                && stream.mPhase == Phase.RUNNING
                && stream.mHasFirstToken;
    }
}
