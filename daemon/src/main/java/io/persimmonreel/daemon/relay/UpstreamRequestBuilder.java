package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the requests that are sent to replicas. */
final class UpstreamRequestBuilder {
    /**
     * The time by which the deadline for the replica is shorter than the remaining time of the
     * request.
     */
    private static final long DEADLINE_MARGIN_MILLIS = 10;

    private final RelayDialect mDialect;

    UpstreamRequestBuilder(final RelayDialect dialect) {
        mDialect = dialect;
    }

    /**
     * Builds the request for the chosen replica of a call.
     *
     * @param call the call
     * @param resumeAfter the id of the event after which the stream continues, null for a new
     *     stream
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the request, whose body always has a Content-Length, also if the caller used chunked
     *     encoding
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
                        EndToEndHeaders.copy(request.request().headers()),
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
                new DispatchHeaders(
                        Math.max(1, left),
                        call.replica().entry().id(),
                        call.task().customer() == null ? null : call.task().customer().name(),
                        resumeAfter));
        return copy;
    }
}
