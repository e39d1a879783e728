package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Names the header fields that a dialect sets on each request to a replica.
 *
 * @param deadline the field for the time that is left, in milliseconds
 * @param replica the field for the replica that is to run the request
 * @param customer the field for the customer
 * @param resumeAfter the field for the last event that the caller has
 */
public record DispatchFields(String deadline, String replica, String customer, String resumeAfter) {
    /**
     * Sets the fields; those without a value stay as they are.
     *
     * @param headers the header fields of the request
     * @param dispatch the values
     */
    public void write(final HttpHeaders headers, final DispatchHead dispatch) {
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
