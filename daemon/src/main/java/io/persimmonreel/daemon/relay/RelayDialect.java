package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between the relay and the header fields of one wire format. */
public interface RelayDialect {
    /**
     * Reads the header fields of a caller's request.
     *
     * @param request the request without its body
     * @return the decoded fields; malformed ones count as missing
     */
    CallerHeaders readRequest(HttpRequest request);

    /**
     * Sets the header fields that the relay adds to a request to a replica. Fields that only the
     * relay may set are removed if the caller sent them.
     *
     * @param headers the caller's end-to-end header fields, changed in place
     * @param dispatch the values of the added fields
     */
    void writeRequest(HttpHeaders headers, DispatchHeaders dispatch);

    /**
     * Reads the header fields of a replica's response.
     *
     * @param response the response without its body
     * @return the decoded fields; malformed ones count as missing
     */
    ReplicaHeaders readResponse(HttpResponse response);

    /**
     * Returns the name of the header field with the attempt id.
     *
     * @return the name as replicas write it
     */
    String attemptField();

    /**
     * Formats the value of the Retry-After header field.
     *
     * @param millis the time after which the caller should retry, in milliseconds
     * @return the value of the field
     */
    String retryAfter(long millis);
}
