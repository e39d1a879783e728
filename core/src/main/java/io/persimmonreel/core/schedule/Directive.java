package io.persimmonreel.core.schedule;

import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.request.ProblemType;

/** An action that the {@link Scheduler} asks the daemon to carry out. */
public sealed interface Directive {
    /**
     * Dispatches a queued request; it occupies a slot at the replica until it ends.
     *
     * @param requestId the request's id
     * @param replica the replica's id
     * @param reason why this replica was chosen, one short sentence
     */
    record Dispatch(String requestId, String replica, String reason) implements Directive {}

    /**
     * Refuses a queued request, which was not dispatched.
     *
     * @param requestId the request's id
     * @param type the kind of refusal
     * @param detail why the request is refused, one short sentence
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     */
    record Refuse(String requestId, ProblemType type, String detail, long retryAfterMillis)
            implements Directive {}

    /**
     * Pauses a stream: the engine stops generating and keeps the stream's KV cache.
     *
     * @param requestId the request's id
     * @param replica the replica that runs it
     */
    record Pause(String requestId, String replica) implements Directive {}

    /**
     * Resumes a paused or broken stream after the last token received.
     *
     * @param requestId the request's id
     * @param replica the replica that continues the stream
     * @param importFrom the replica to import the KV cache from, empty if {@code replica} has it
     */
    record Resume(String requestId, String replica, String importFrom) implements Directive {}

    /**
     * Sends a notice of load shedding to all peers.
     *
     * @param notice the notice
     */
    record Publish(ShedNotice notice) implements Directive {}
}
