package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ClaimReply;
import io.persimmonreel.core.request.RequestIdentity;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the arguments of one call of {@link ClaimManager#begin}.
 *
 * @param requestId the request's id
 * @param identity the identity to claim
 * @param contentDigest SHA-256 of the request's body
 * @param deadlineNanos the request's deadline, monotonic time
 * @param issuer the daemon that issued the key and alone can grant it, null for any other key
 * @param beginNanos the monotonic time of the call
 * @param listener the receiver of the result
 */
record ClaimCall(
        String requestId,
        RequestIdentity identity,
        String contentDigest,
        long deadlineNanos,
        Incarnation issuer,
        long beginNanos,
        ClaimListener listener) {
    /**
     * Holds one round of claim requests to the members.
     *
     * @param call the call that the round belongs to
     * @param attempt the attempt of this round
     * @param quorum the number of grants needed
     * @param first whether this is the first round of the call, so that a second one may follow
     * @param replies the latest reply of each member
     * @param lastSentNanos the monotonic time at which the requests were last sent
     */
    record Round(
            ClaimCall call,
            Attempt attempt,
            int quorum,
            boolean first,
            Map<Incarnation, ClaimReply> replies,
            AtomicLong lastSentNanos) {
        Round(
                final ClaimCall call,
                final Attempt attempt,
                final int quorum,
                final boolean first,
                final long nowNanos) {
            this(call, attempt, quorum, first, new ConcurrentHashMap<>(), new AtomicLong(nowNanos));
        }
    }

    /**
     * Holds a second round that is waiting for its random delay.
     *
     * @param call the call that the round belongs to
     * @param dueNanos the monotonic time at which the round starts
     */
    record Retry(ClaimCall call, long dueNanos) {}

    /**
     * Holds a pending request to the holder of a finished claim for its stored answer.
     *
     * @param call the call that the answer is for
     * @param status the HTTP status of the finished claim
     * @param holder the daemon that holds the claim
     * @param timeoutNanos the monotonic time at which the request times out
     */
    record AnswerFetch(ClaimCall call, int status, Incarnation holder, long timeoutNanos) {}
}
