package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Holds the names of the header fields that a dialect sets on each request to a replica.
 *
 * @param deadline the field for the remaining time in milliseconds
 * @param replica the field for the id of the replica that should run the request
 * @param customer the field for the customer's name
 * @param resumeAfter the field for the id of the last event that the caller received
 */
public record DispatchHeaderNames(
        String deadline, String replica, String customer, String resumeAfter) {
    /**
     * Sets the fields; fields without a value are left unchanged.
     *
     * @param headers the header fields of the request
     * @param dispatch the values
     */
    public void write(final HttpHeaders headers, final DispatchHeaders dispatch) {
        headers.set(deadline, dispatch.deadlineMillis());
        headers.set(replica, dispatch.replicaId());
        if (dispatch.customer() != null) {
            headers.set(customer, dispatch.customer());
        }
        if (dispatch.resumeAfter() != null) {
            headers.set(resumeAfter, dispatch.resumeAfter());
        }
    }
}
