package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on one connection to a replica.
 *
 * <p>It tells the connection of the end of its input before it ends a response without a length,
 * and of bytes that arrive while no request is in progress, whether or not they form a message. It
 * knows whether the current request is a HEAD request, whose response declares the length of a body
 * that does not follow.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAXIMUM_LINE_BYTES = 4_096;
    private static final int MAXIMUM_HEADER_BYTES = 32 * 1024;
    private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;

    private final UpstreamConnection mConnection;

    UpstreamResponseDecoder(final UpstreamConnection connection) {
        super(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES);
        mConnection = connection;
    }

    /** Returns whether bytes have arrived that are not decoded yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns the bytes that have arrived and are not decoded yet, which must not be changed. */
    ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message)
            throws Exception {
        final boolean idle = mConnection.isIdle();
        // Bytes on an idle connection are decoded too, to report the responses among them.
        super.channelRead(context, message);
        if (hasUndecodedBytes()) {
            mConnection.onUndecodedBytes();
        }
        if (idle) {
            mConnection.onBytesWhileIdle();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return mConnection.isHeadRequest() || super.isContentAlwaysEmpty(message);
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event)
            throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            mConnection.onEndOfInput();
        }
        super.userEventTriggered(context, event);
    }
}
