package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ClaimPhase;

/**
 * Records the claim that a member granted on one identity.
 *
 * @param holder the incarnation that the claim was last granted to
 * @param attempt the number of the holder's attempt
 * @param contentDigest SHA-256 of the request's body at first use
 * @param phase the phase of the claim
 * @param status the HTTP status if the request ran, else 0
 * @param grantedNanos the monotonic time at which the claim was last granted
 * @param opaque whether the key carries no time of its creation
 * @param notRunNanos the monotonic time at which a holder last reported the request as not run,
 *     {@link #NEVER} if none did
 */
record ClaimEntry(
        Incarnation holder,
        long attempt,
        String contentDigest,
        ClaimPhase phase,
        int status,
        long grantedNanos,
        boolean opaque,
        long notRunNanos) {
    static final long NEVER = Long.MIN_VALUE;

    boolean isHeldBy(final Incarnation incarnation, final long number) {
        return holder.equals(incarnation) && attempt == number;
    }

    ClaimEntry grantedTo(final Incarnation to, final long number, final long nowNanos) {
        return new ClaimEntry(
                to, number, contentDigest, ClaimPhase.CLAIMED, 0, nowNanos, opaque, notRunNanos);
    }

    ClaimEntry released(final long reportedNanos) {
        return new ClaimEntry(
                holder,
                attempt,
                contentDigest,
                ClaimPhase.RELEASED,
                0,
                grantedNanos,
                opaque,
                reportedNanos);
    }

    ClaimEntry finished(final int httpStatus) {
        return new ClaimEntry(
                holder,
                attempt,
                contentDigest,
                ClaimPhase.FINISHED,
                httpStatus,
                grantedNanos,
                opaque,
                notRunNanos);
    }
}
