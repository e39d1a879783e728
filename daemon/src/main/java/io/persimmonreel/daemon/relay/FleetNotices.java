package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Collects what this daemon tells the others of replicas. Not thread safe. */
final class FleetNotices {
    private final ContentQuarantine mQuarantine;
    private final ReplicaRateLimits mRateLimits;

    FleetNotices(final ContentQuarantine quarantine, final ReplicaRateLimits rateLimits) {
        mQuarantine = quarantine;
        mRateLimits = rateLimits;
    }

    /** Sets the consumer that sends changes to all other daemons. */
    void sendChangesTo(final Consumer<PeerMessage> consumer) {
        mQuarantine.sendNoticesTo(consumer);
        mRateLimits.sendNoticesTo(consumer);
        mRateLimits.coldReplicas().sendNoticesTo(consumer);
    }

    /** Returns what a daemon that has just connected must know. */
    List<PeerMessage> forNewPeer(final long nowNanos) {
        final List<PeerMessage> notices = new ArrayList<>(mQuarantine.knownEvidence(nowNanos));
        mRateLimits.notice(nowNanos).ifPresent(notices::add);
        mRateLimits.coldReplicas().notice(false, nowNanos).ifPresent(notices::add);
        return notices;
    }

    /** Returns what is repeated at intervals, since the transport may lose messages. */
    List<PeerMessage> repeated(final long nowNanos) {
        final List<PeerMessage> notices = new ArrayList<>(mQuarantine.refusalNotices(nowNanos));
        mRateLimits.notice(nowNanos).ifPresent(notices::add);
        mRateLimits.coldReplicas().notice(true, nowNanos).ifPresent(notices::add);
        return notices;
    }
}
