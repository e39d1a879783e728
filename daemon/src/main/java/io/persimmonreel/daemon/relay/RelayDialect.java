package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between the relay and the header fields of one wire format. */
public interface RelayDialect {
    /**
     * Reads what a caller says of its request.
     *
     * @param request the request's head
     * @return the decoded fields; malformed ones count as missing
     */
    CallerHead readRequest(HttpRequest request);

    /**
     * Replaces the fields that the relay sets on a request to a replica. Fields that only the relay
     * may set are removed if the caller sent them.
     *
     * @param headers the caller's end-to-end fields, changed in place
     * @param dispatch what the replica is told
     */
    void writeRequest(HttpHeaders headers, DispatchHead dispatch);

    /**
     * Reads what a replica says of its answer.
     *
     * @param response the answer's head
     * @return the decoded fields; malformed ones count as missing
     */
    ReplicaHead readAnswer(HttpResponse response);

    /**
     * Writes a time to return.
     *
     * @param millis the time in milliseconds
     * @return the value of the field Retry-After
     */
    String retryAfter(long millis);
}
