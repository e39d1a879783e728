package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/** Holds a caller's request and the way back to the caller. Not thread safe. */
final class CallerRequest {
    private final HttpRequest mRequest;
    private final CallerHead mHead;
    private final CallerConnection mConnection;
    private final long mArrivedNanos;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;

    CallerRequest(
            final HttpRequest request,
            final CallerHead head,
            final CallerConnection connection,
            final long arrivedNanos) {
        mRequest = request;
        mHead = head;
        mConnection = connection;
        mArrivedNanos = arrivedNanos;
    }

    HttpRequest request() {
        return mRequest;
    }

    CallerHead head() {
        return mHead;
    }

    CallerConnection connection() {
        return mConnection;
    }

    /** Returns when the head arrived, by the monotonic clock. */
    long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Returns the body; the request keeps it until {@link #release}. */
    ByteBuf body() {
        return mBody;
    }

    void append(final ByteBuf bytes) {
        if (mBody == Unpooled.EMPTY_BUFFER) {
            mBody = Unpooled.buffer(bytes.readableBytes());
        }
        mBody.writeBytes(bytes);
    }

    /** Drops the body, which a request that can't be sent again does not need. */
    void release() {
        mBody = Unpooled.EMPTY_BUFFER;
    }
}
