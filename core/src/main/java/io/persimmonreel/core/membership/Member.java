package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.MemberNews;
import io.persimmonreel.core.peer.PeerMessage.NewsState;

/**
 * Holds what this daemon knows of one member. Instances are immutable.
 *
 * @param incarnation the member's incarnation
 * @param slot the member's slot
 * @param zone the member's availability zone
 * @param sequence the highest heartbeat sequence number known, 0 if none
 * @param heardNanos the monotonic time at which the member was last heard
 * @param leaving whether the member said that it is leaving
 * @param state the state by the failure detector, never {@code LEAVING}
 */
record Member(
        Incarnation incarnation,
        int slot,
        String zone,
        long sequence,
        long heardNanos,
        boolean leaving,
        MemberState state) {
    /**
     * Returns this member as heard now; sequence 0, which is no heartbeat, leaves a new one new.
     */
    Member heard(final long heartbeatSequence, final boolean leaves, final long nowNanos) {
        return new Member(
                incarnation,
                slot,
                zone,
                Math.max(sequence, heartbeatSequence),
                nowNanos,
                leaving || leaves,
                heartbeatSequence == 0L && state == MemberState.NEW
                        ? MemberState.NEW
                        : MemberState.ALIVE);
    }

    Member withState(final MemberState next) {
        return new Member(incarnation, slot, zone, sequence, heardNanos, leaving, next);
    }

    /**
     * Returns this member with a pause of this process added to the time at which it was heard. A
     * message that waited in the socket has set that time after the pause, so the sum is limited to
     * the present time.
     */
    Member afterPause(final long pauseNanos, final long nowNanos) {
        return heardAt(heardNanos + Math.min(pauseNanos, nowNanos - heardNanos));
    }

    Member heardAt(final long nowNanos) {
        return new Member(incarnation, slot, zone, sequence, nowNanos, leaving, state);
    }

    boolean isLive() {
        return state != MemberState.DEAD;
    }

    /** Returns the state to report, in which a live member that is leaving is {@code LEAVING}. */
    MemberState visibleState() {
        return leaving && state == MemberState.ALIVE ? MemberState.LEAVING : state;
    }

    /** Returns what gossip says about this member. */
    MemberNews news() {
        final NewsState newsState;
        switch (state) {
            case DEAD:
                newsState = NewsState.DEAD;
                break;
            case SUSPECT:
                newsState = NewsState.SUSPECT;
                break;
            default:
                newsState = leaving ? NewsState.LEAVING : NewsState.ALIVE;
                break;
        }
        return new MemberNews(incarnation.id(), slot, zone, sequence, newsState);
    }
}
