package io.persimmonreel.daemon.relay;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/** Holds a caller's request and the connection for its response. Not thread safe. */
final class CallerRequest {
    private static final Hasher128 HASHER = Hashing.murmur3_128();

    private final HttpRequest mRequest;
    private final CallerHeaders mCallerHeaders;
    private final CallerConnection mConnection;
    private final long mArrivedNanos;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private HashValue128 mBodyHash;

    CallerRequest(
            final HttpRequest request,
            final CallerHeaders callerHeaders,
            final CallerConnection connection,
            final long arrivedNanos) {
        mRequest = request;
        mCallerHeaders = callerHeaders;
        mConnection = connection;
        mArrivedNanos = arrivedNanos;
    }

    HttpRequest request() {
        return mRequest;
    }

    CallerHeaders callerHeaders() {
        return mCallerHeaders;
    }

    CallerConnection connection() {
        return mConnection;
    }

    /** Returns when the request headers arrived, in nanoseconds of the monotonic clock. */
    long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Returns the body, which stays available until {@link #releaseBody}. */
    ByteBuf body() {
        return mBody;
    }

    /**
     * Returns the hash of the body. Once it was computed, it stays available after {@link
     * #releaseBody}.
     */
    HashValue128 bodyHash() {
        if (mBodyHash == null) {
            mBodyHash = HASHER.hashBytesTo128Bits(ByteBufUtil.getBytes(mBody));
        }
        return mBodyHash;
    }

    void append(final ByteBuf bytes) {
        if (mBody == Unpooled.EMPTY_BUFFER) {
            mBody = Unpooled.buffer(bytes.readableBytes());
        }
        mBody.writeBytes(bytes);
    }

    /** Drops the body of a request that will not be sent again. */
    void releaseBody() {
        mBody = Unpooled.EMPTY_BUFFER;
    }
}
