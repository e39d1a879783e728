package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the requests that replicas receive. */
final class UpstreamRequests {
    /** A replica is told a little less than what is left. */
    private static final long DEADLINE_MARGIN_MILLIS = 10;

    private final RelayDialect mDialect;

    UpstreamRequests(final RelayDialect dialect) {
        mDialect = dialect;
    }

    /**
     * Builds the request for the chosen replica of an attempt.
     *
     * @param call the attempt
     * @param resumeAfter the id of the event after which the stream goes on, null for a new one
     * @param nowNanos the present monotonic time in nanoseconds
     * @return the request with a body of known length, whatever its length was framed by
     */
    FullHttpRequest build(final RelayCall call, final String resumeAfter, final long nowNanos) {
        final CallerRequest request = call.task().request();
        final ByteBuf body = request.body();
        final FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.request().method(),
                        request.request().uri(),
                        body.isReadable() ? Unpooled.copiedBuffer(body) : Unpooled.EMPTY_BUFFER,
                        EndToEnd.copy(request.request().headers()),
                        EmptyHttpHeaders.INSTANCE);
        final boolean sized =
                body.isReadable() || copy.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (sized) {
            copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        final long left = (long) call.task().millisLeft(nowNanos) - DEADLINE_MARGIN_MILLIS;
        mDialect.writeRequest(
                copy.headers(),
                new DispatchHead(
                        Math.max(1, left),
                        call.replica().entry().id(),
                        call.task().customer() == null ? null : call.task().customer().name(),
                        resumeAfter));
        return copy;
    }
}
