package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the course of one exchange with a replica. After an end no further call comes. */
interface ExchangeListener {
    /** Reports that the request was handed to an open connection. */
    void onWritten();

    /**
     * Reports the head of the answer.
     *
     * @param response the head
     * @param head its decoded fields
     */
    void onHead(HttpResponse response, ReplicaHead head);

    /**
     * Reports bytes of the answer's body.
     *
     * @param bytes the bytes, released by the caller
     */
    void onBody(ByteBuf bytes);

    /** Reports that the answer is whole. */
    void onEnd();

    /**
     * Reports that the exchange failed.
     *
     * @param untouched whether no byte of the request was sent
     * @param reason the reason, one short sentence
     */
    void onBroken(boolean untouched, String reason);
}
