package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes the response to one request. Once the caller is gone, nothing is written any more. Not
 * thread safe.
 */
final class CallerResponse {
    private final CallerRequest mRequest;
    private boolean mStarted;
    private boolean mCallerGone;
    private UpstreamExchange mFirstExchange;

    CallerResponse(final CallerRequest request) {
        mRequest = request;
    }

    /** Returns whether the head of a streamed response was written. */
    boolean isStarted() {
        return mStarted;
    }

    /** Returns the exchange that the response began with, null if none was forwarded. */
    UpstreamExchange firstExchange() {
        return mFirstExchange;
    }

    boolean isCallerGone() {
        return mCallerGone;
    }

    void onCallerGone() {
        mCallerGone = true;
    }

    /**
     * Writes a whole response.
     *
     * @param status the status
     * @param replicaResponse the response whose end-to-end headers are forwarded
     * @param body the body, whose ownership passes to this object
     * @param exchange the record of the exchange that the response is from
     */
    void forward(
            final HttpResponseStatus status,
            final HttpResponse replicaResponse,
            final ByteBuf body,
            final UpstreamExchange exchange) {
        if (mCallerGone) {
            body.release();
            return;
        }
        onBegin(status, exchange);
        exchange.onForwarded(body.readableBytes());
        exchange.onForwardedToEnd();
        mRequest.connection()
                .respond(mRequest, status, EndToEndHeaders.copy(replicaResponse.headers()), body);
    }

    /**
     * Writes the head of a streamed response, unless it was written before.
     *
     * @param replicaResponse the response whose status and end-to-end headers are forwarded
     * @param exchange the record of the exchange that the response is from
     */
    void start(final HttpResponse replicaResponse, final UpstreamExchange exchange) {
        if (mStarted || mCallerGone) {
            return;
        }
        mStarted = true;
        onBegin(replicaResponse.status(), exchange);
        mRequest.connection()
                .startStream(
                        mRequest,
                        replicaResponse.status(),
                        EndToEndHeaders.copy(replicaResponse.headers()));
    }

    /**
     * Writes bytes of a streamed response.
     *
     * @param bytes the bytes, whose ownership passes to this object
     * @param exchange the record of the exchange that the bytes are from
     */
    void stream(final ByteBuf bytes, final UpstreamExchange exchange) {
        if (mCallerGone) {
            bytes.release();
        } else {
            exchange.onForwarding();
            exchange.onForwarded(bytes.readableBytes());
            mRequest.connection().stream(mRequest, bytes);
        }
    }

    /**
     * Ends a streamed response that is complete.
     *
     * @param exchange the record of the exchange that the end is from
     */
    void end(final UpstreamExchange exchange) {
        if (!mCallerGone) {
            exchange.onForwardedToEnd();
            mRequest.connection().endStream(mRequest);
        }
    }

    /** Closes the caller's connection, so that the response is seen as incomplete. */
    void abort() {
        if (!mCallerGone) {
            mRequest.connection().abort(mRequest);
        }
    }

    private void onBegin(final HttpResponseStatus status, final UpstreamExchange exchange) {
        mFirstExchange = exchange;
        exchange.onStatusForwarded(status.code());
    }
}
