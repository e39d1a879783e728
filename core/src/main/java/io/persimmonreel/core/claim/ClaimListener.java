package io.persimmonreel.core.claim;

import io.persimmonreel.core.request.Problem;

/** Receives the result of {@link ClaimManager#begin}: one of its methods is called, once. */
public interface ClaimListener {
    /**
     * Called when the claim was obtained. The receiver must end the attempt, either with {@link
     * ClaimManager#markDispatched} and later {@link ClaimManager#finish}, or with {@link
     * ClaimManager#renounce}.
     *
     * @param attempt the number of the attempt that holds the claim
     */
    void onClaimed(long attempt);

    /**
     * Called when the request must not be dispatched.
     *
     * @param problem the problem to report to the caller; its outcome says what is known about
     *     earlier attempts
     */
    void onRefused(Problem problem);

    /**
     * Called when the request ran before and its answer is still stored.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body, not copied
     */
    void onStoredAnswer(int status, String contentType, byte[] body);
}
