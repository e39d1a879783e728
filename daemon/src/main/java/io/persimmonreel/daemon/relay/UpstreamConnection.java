package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.persimmonreel.core.replica.Replica;

/**
 * Runs one exchange at a time on a connection to a replica.
 *
 * <p>Bytes that answer no request, and answers to another attempt, are never passed on. All methods
 * run on the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final int MISDIRECTED = 421;

    private static final ExchangeListener IGNORED =
            new ExchangeListener() {
                @Override
                public void onWritten() {}

                @Override
                public void onHead(final HttpResponse response, final ReplicaHead head) {}

                @Override
                public void onBody(final ByteBuf bytes) {}

                @Override
                public void onEnd() {}

                @Override
                public void onBroken(final boolean untouched, final String reason) {}
            };

    private final Replica mReplica;
    private final UpstreamConnections mPool;
    private final RelayDialect mDialect;
    private Channel mChannel;
    private ExchangeListener mListener;
    private String mAttemptId;
    private boolean mHead;
    private boolean mWritten;
    private boolean mHeadSeen;
    private boolean mSkipping;
    private boolean mReusable;
    private boolean mReset;
    private long mIdleSinceNanos;
    private long mIdleLimitNanos;

    UpstreamConnection(
            final Replica replica, final UpstreamConnections pool, final RelayDialect dialect) {
        mReplica = replica;
        mPool = pool;
        mDialect = dialect;
    }

    Replica replica() {
        return mReplica;
    }

    boolean isOpen() {
        return mChannel != null && mChannel.isActive();
    }

    /** Tells whether the present request is a HEAD request. */
    boolean isHead() {
        return mHead;
    }

    boolean isIdle() {
        return mListener == null && isOpen();
    }

    long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    long idleLimitNanos() {
        return mIdleLimitNanos;
    }

    /**
     * Sends a request.
     *
     * @param attemptId the id that the answer has to bear
     * @param request the request, released when it was written
     * @param listener receives the course of the exchange
     */
    void send(
            final String attemptId,
            final FullHttpRequest request,
            final ExchangeListener listener) {
        mListener = listener;
        mAttemptId = attemptId;
        mHead = request.method().equals(HttpMethod.HEAD);
        mWritten = false;
        mHeadSeen = false;
        mSkipping = false;
        mReusable = true;
        listener.onWritten();
        mChannel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (mListener == listener) {
                                mWritten = written.isSuccess();
                            }
                        });
    }

    /** Pauses or continues reading while the caller takes bytes more slowly. */
    void reading(final boolean on) {
        mChannel.config().setAutoRead(on);
    }

    /** Ignores the rest of the answer and keeps the connection for later if it can be kept. */
    void drop() {
        mListener = IGNORED;
    }

    /** Ends the exchange and its connection, which tells the replica to stop. */
    void cancel() {
        mListener = null;
        close();
    }

    void close() {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        try {
            if (mListener == null) {
                // Bytes after a whole answer belong to no request.
                close();
            } else if (((HttpObject) message).decoderResult().isFailure()) {
                fail("the replica sent bytes that are no answer");
            } else {
                if (message instanceof HttpResponse response) {
                    onResponse(response);
                }
                if (message instanceof HttpContent content && mListener != null) {
                    onContent(content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        mReset = true;
        fail("connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        fail("the replica closed the connection");
        mPool.onClosed(this);
    }

    private void onResponse(final HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkipping = true;
            return;
        }
        final ReplicaHead head = mDialect.readAnswer(response);
        // An answer to an earlier attempt may arrive where this one's is due.
        mSkipping = head.attemptId() != null && !head.attemptId().equals(mAttemptId);
        if (mSkipping) {
            return;
        }
        if (!isAttributable(response, head)) {
            // A spoiled head may read as a whole answer without fields.
            fail("the answer does not show whose it is");
            return;
        }
        mHeadSeen = true;
        mReusable = isReusable(response);
        mIdleLimitNanos = KeepAlive.limitNanos(response.headers());
        mListener.onHead(response, head);
    }

    private static boolean isAttributable(final HttpResponse response, final ReplicaHead head) {
        final boolean refusal = head.notRun() || response.status().code() == MISDIRECTED;
        final boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        return refusal || head.attemptId() != null && (head.genuine() || !success);
    }

    private static boolean isReusable(final HttpResponse response) {
        final HttpHeaders headers = response.headers();
        return HttpUtil.isKeepAlive(response)
                && (HttpUtil.isTransferEncodingChunked(response)
                        || headers.contains(HttpHeaderNames.CONTENT_LENGTH));
    }

    private void onContent(final HttpContent content) {
        if (mSkipping) {
            if (content instanceof LastHttpContent) {
                mSkipping = false;
            }
            return;
        }
        final ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            mListener.onBody(bytes);
        }
        if (content instanceof LastHttpContent && mListener != null) {
            end();
        }
    }

    private void end() {
        if (mReset) {
            // An answer without length ends with its connection, but not by a reset.
            fail("the connection was reset");
            return;
        }
        final ExchangeListener listener = mListener;
        mListener = null;
        // The rest of a request that was answered early would be read as part of the next one.
        if (mReusable && mWritten) {
            mIdleSinceNanos = mPool.nowNanos();
            mPool.release(this);
        } else {
            close();
        }
        listener.onEnd();
    }

    private void fail(final String reason) {
        final ExchangeListener listener = mListener;
        mListener = null;
        close();
        if (listener != null) {
            listener.onBroken(false, mHeadSeen ? reason + " inside an answer" : reason);
        }
    }
}
