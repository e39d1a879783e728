package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the progress of one exchange with a replica. No method is called after the exchange
 * ended or failed.
 */
interface ExchangeListener {
    /** Reports that the request was handed to an open connection. */
    void onWritten();

    /**
     * Reports the status and headers of the response.
     *
     * @param response the response without its body
     * @param replicaHeaders its decoded header fields
     */
    void onHeaders(HttpResponse response, ReplicaHeaders replicaHeaders);

    /**
     * Reports bytes of the response body.
     *
     * @param bytes the bytes, released by the caller
     */
    void onBody(ByteBuf bytes);

    /** Reports that the response is complete. */
    void onEnd();

    /**
     * Reports that the exchange failed.
     *
     * @param reason the reason, one short sentence
     */
    void onFailed(String reason);
}
