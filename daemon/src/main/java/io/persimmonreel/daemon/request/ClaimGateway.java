package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;

/**
 * Gives the request path access to claims on request identities, which prevent a request from
 * running twice. Implementations are thread safe and never block.
 */
public interface ClaimGateway {
    /** Receives the result of one claim attempt. Exactly one method is called, once. */
    interface Listener {
        /**
         * Receives a granted claim.
         *
         * @param attempt the number of the attempt
         */
        void onClaimed(long attempt);

        /**
         * Receives a refusal; this attempt must not dispatch the request.
         *
         * @param problem the refusal; its outcome says whether an earlier attempt may have run
         */
        void onRefused(Problem problem);

        /**
         * Receives the answer that an earlier request with the same identity received.
         *
         * @param status the HTTP status
         * @param contentType the media type
         * @param body the body
         */
        void onEarlierAnswer(int status, String contentType, byte[] body);
    }

    /**
     * Requests a claim.
     *
     * @param requestId the request's id
     * @param identity the identity to claim
     * @param contentDigest the SHA-256 digest of the body
     * @param deadlineNanos the monotonic time after which the claim is no longer needed
     * @param listener receives the result
     */
    void begin(
            String requestId,
            RequestIdentity identity,
            String contentDigest,
            long deadlineNanos,
            Listener listener);

    /**
     * Marks an attempt as dispatched; called before the first byte is sent.
     *
     * @param attempt the attempt
     * @return true if the request may be sent, false if the attempt was renounced
     */
    boolean markDispatched(long attempt);

    /**
     * Renounces an attempt: it can no longer be dispatched, and its claim is released.
     *
     * @param attempt the attempt
     * @return true if the attempt was not dispatched and never will be, false if it was dispatched
     */
    boolean renounce(long attempt);

    /**
     * Ends a dispatched attempt.
     *
     * @param attempt the attempt
     * @param outcome what is known about the execution
     * @param status the HTTP status given to the caller
     * @param contentType the media type of the answer
     * @param body the body of the answer
     */
    void finish(long attempt, Outcome outcome, int status, String contentType, byte[] body);
}
