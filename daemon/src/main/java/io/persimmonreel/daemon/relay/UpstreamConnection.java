package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.daemon.http.KeepAliveHeader;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Handles one connection to a replica, on which one exchange runs at a time.
 *
 * <p>Bytes that belong to no request and responses to another attempt are never forwarded. All
 * methods run on the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /**
     * The maximum number of interim responses and responses to other attempts before the response
     * to a request; a replica sends one of each at most.
     */
    private static final int MAXIMUM_SKIPPED_RESPONSES = 16;

    /** The maximum size of the bodies of these responses, or of an ignored one, in bytes. */
    private static final int MAXIMUM_SKIPPED_BYTES = 1 << 20;

    /** The maximum time until the end of an ignored response. */
    private static final long MAXIMUM_IGNORED_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final ExchangeListener IGNORING_LISTENER = new IgnoringListener();

    /** The maximum number of attempts that are remembered; the oldest is forgotten first. */
    private static final int MAXIMUM_REMEMBERED_ATTEMPTS = 16;

    private final Deque<String> mCarriedAttempts = new ArrayDeque<>();
    private final Replica mReplica;
    private final UpstreamConnectionPool mPool;
    private final RelayDialect mDialect;
    private final ConnectionRecord mRecord;
    private Channel mChannel;
    private ExchangeListener mListener;
    private String mAttemptId;
    private boolean mHeadRequest;
    private boolean mWritten;
    private boolean mResponseStarted;
    private boolean mSkippingResponse;
    private int mSkippedResponses;
    private int mSkippedBytes;
    private final JoinedBody mJoinedBody;
    private boolean mReusable;
    private int mIgnoredBytes;
    private long mIgnoredSinceNanos;
    private boolean mUsedBefore;
    private boolean mEndOfInput;
    private boolean mEndsWithConnection;

    /** Whether a response without a length has ended and the request is still being written. */
    private boolean mAwaitsWrite;

    private long mIdleSinceNanos;
    private long mIdleLimitNanos;

    /** Whether the connection may be used again after its last response. */
    private boolean mKept = true;

    /** Whether the connection was closed here and not by the replica. */
    private boolean mClosed;

    UpstreamConnection(
            final Replica replica, final UpstreamConnectionPool pool, final RelayDialect dialect) {
        mReplica = replica;
        mPool = pool;
        mDialect = dialect;
        mJoinedBody = new JoinedBody(dialect.attemptField());
        mRecord =
                new ConnectionRecord(
                        replica, pool.nextConnectionNumber(), pool.unrequestedResponseListener());
    }

    Replica replica() {
        return mReplica;
    }

    /** Returns the record of the last exchange, null before the first one. */
    UpstreamExchange exchange() {
        return mRecord.exchange();
    }

    boolean isOpen() {
        return mChannel != null && mChannel.isActive();
    }

    /** Returns whether the current request is a HEAD request. */
    boolean isHeadRequest() {
        return mHeadRequest;
    }

    boolean isIdle() {
        return mListener == null && isOpen();
    }

    /**
     * Returns whether an attempt was sent on this connection, so that a late second response to it
     * could be taken for the response to the same attempt.
     */
    boolean hasCarried(final String attemptId) {
        return mCarriedAttempts.contains(attemptId);
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
     * @param attemptId the attempt id that the response must carry
     * @param request the request, released once it is written
     * @param listener receives the progress of the exchange
     */
    void send(
            final String attemptId,
            final FullHttpRequest request,
            final ExchangeListener listener) {
        mListener = listener;
        mAttemptId = attemptId;
        mHeadRequest = request.method().equals(HttpMethod.HEAD);
        mWritten = false;
        mResponseStarted = false;
        mEndsWithConnection = false;
        mAwaitsWrite = false;
        mSkippingResponse = false;
        mSkippedResponses = 0;
        mSkippedBytes = 0;
        mReusable = true;
        rememberAttempt();
        mKept = false;
        mRecord.begin(attemptId, mPool.nowNanos());
        listener.onWritten();
        mChannel.writeAndFlush(request)
                .addListener(written -> onRequestWritten(listener, written.isSuccess()));
    }

    private void onRequestWritten(final ExchangeListener listener, final boolean success) {
        if (mListener != listener) {
            return;
        }
        mWritten = success;
        if (mAwaitsWrite && success) {
            finish();
        } else if (mAwaitsWrite) {
            fail("the replica did not read the request", UpstreamExchange.End.RESET);
        }
    }

    /**
     * Enables or disables reading; reading is paused while the caller's connection is not writable.
     */
    void setReading(final boolean on) {
        mChannel.config().setAutoRead(on);
    }

    /**
     * Ignores the rest of the response, after which the connection returns to the pool if it is
     * reusable. The connection is closed if the rest is too long or doesn't end in time.
     */
    void ignoreRest() {
        mListener = IGNORING_LISTENER;
        mIgnoredBytes = 0;
        mIgnoredSinceNanos = mPool.nowNanos();
        setReading(true);
        mPool.onIgnoring(this);
    }

    /** Returns whether the connection ignores a response that should have ended by now. */
    boolean isIgnoringTooLong(final long nowNanos) {
        return isIgnoring() && nowNanos - mIgnoredSinceNanos >= MAXIMUM_IGNORED_NANOS;
    }

    boolean isIgnoring() {
        return mListener == IGNORING_LISTENER;
    }

    /** Ends the exchange and closes the connection, which makes the replica stop the work. */
    void cancel() {
        mListener = null;
        endExchange(UpstreamExchange.End.CANCELLED, false);
        close();
    }

    void close() {
        mClosed = true;
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
                // Bytes after a complete response belong to no request.
                close();
                reportUnrequested(message);
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

    /** Closes the connection, since bytes after a complete response belong to no request. */
    void onBytesWhileIdle() {
        close();
    }

    /** Reports bytes that form no response, if they arrived after the last response. */
    void onUndecodedBytes() {
        if (mListener == null && mRecord.isBetweenExchanges()) {
            mRecord.onUnrequestedBytes(unrequestedKind(), mPool.nowNanos());
        }
    }

    /**
     * Records that the replica ended its side of the connection in order. A reset, which may be met
     * in a read or in a write, and a channel that is closed here don't end in this way.
     */
    void onEndOfInput() {
        mEndOfInput = true;
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof ChannelInputShutdownEvent && !mAwaitsWrite) {
            fail("the replica closed the connection", UpstreamExchange.End.END_OF_INPUT);
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        fail(
                "connection failed: " + cause.getMessage(),
                cause instanceof IOException
                        ? UpstreamExchange.End.RESET
                        : UpstreamExchange.End.FAILURE);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        fail("the replica closed the connection", connectionEnd());
        mPool.onClosed(this);
    }

    private void onResponse(final HttpResponse response) {
        if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            fail("the replica switched protocols without being asked");
            return;
        }
        if (!ReplicaResponses.isValid(response.status())) {
            mRecord.onUnrequested(UnrequestedKind.INVALID_STATUS, response, null, mPool.nowNanos());
            fail("the replica sent the invalid status " + response.status().code());
            return;
        }
        if (JoinedHead.isIn(response)) {
            mRecord.onUnrequested(UnrequestedKind.JOINED_HEAD, response, null, mPool.nowNanos());
            fail("the head of the answer contains another answer");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipResponse(UnrequestedKind.INTERIM, response, null);
            return;
        }
        final ReplicaHeaders replicaHeaders = mDialect.readResponse(response);
        // A response to an earlier attempt may arrive in place of the response to this one.
        if (replicaHeaders.attemptId() != null && !replicaHeaders.attemptId().equals(mAttemptId)) {
            skipResponse(UnrequestedKind.OTHER_ATTEMPT, response, replicaHeaders.attemptId());
            return;
        }
        if (!isAttributable(response, replicaHeaders)) {
            // Response headers that were cut off may look like a complete response without header
            // fields.
            mRecord.onUnrequested(
                    UnrequestedKind.UNATTRIBUTED,
                    response,
                    replicaHeaders.attemptId(),
                    mPool.nowNanos());
            fail("the answer does not show whose it is");
            return;
        }
        final ResponseFraming framing = ResponseFraming.of(response, mHeadRequest);
        mRecord.exchange().onResponse(response, replicaHeaders, framing, mPool.nowNanos());
        mResponseStarted = true;
        mEndsWithConnection = framing == ResponseFraming.CONNECTION_END;
        mJoinedBody.begin();
        mReusable = isReusable(response);
        mIdleLimitNanos = KeepAliveHeader.idleLimitNanos(response.headers());
        mListener.onHeaders(response, replicaHeaders);
    }

    private void reportUnrequested(final Object message) {
        if (message instanceof HttpResponse response && mRecord.isBetweenExchanges()) {
            mRecord.onUnrequested(
                    unrequestedKind(),
                    response,
                    mDialect.readResponse(response).attemptId(),
                    mPool.nowNanos());
        }
    }

    private UnrequestedKind unrequestedKind() {
        return mKept ? UnrequestedKind.IDLE : UnrequestedKind.AFTER_LAST;
    }

    private void skipResponse(
            final UnrequestedKind kind, final HttpResponse response, final String attemptId) {
        mRecord.onUnrequested(kind, response, attemptId, mPool.nowNanos());
        mSkippingResponse = true;
        mSkippedResponses++;
        if (mSkippedResponses > MAXIMUM_SKIPPED_RESPONSES) {
            fail("the replica sent too many responses that belong to no request");
        }
    }

    /**
     * Returns whether a response can only be the one to the current request. On a connection in use
     * again, a refusal without an attempt id may be a late copy of an earlier one.
     */
    private boolean isAttributable(
            final HttpResponse response, final ReplicaHeaders replicaHeaders) {
        final boolean refusal = isRefusal(response, replicaHeaders);
        final boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        return refusal && !mUsedBefore
                || refusal && replicaHeaders.attemptId() != null
                || replicaHeaders.attemptId() != null && (replicaHeaders.genuine() || !success);
    }

    private static boolean isRefusal(
            final HttpResponse response, final ReplicaHeaders replicaHeaders) {
        return replicaHeaders.notRun() || ReplicaResponses.isMisdirected(response.status());
    }

    private void rememberAttempt() {
        if (mCarriedAttempts.size() >= MAXIMUM_REMEMBERED_ATTEMPTS) {
            mCarriedAttempts.removeFirst();
        }
        mCarriedAttempts.addLast(mAttemptId);
    }

    private static boolean isReusable(final HttpResponse response) {
        final HttpHeaders headers = response.headers();
        return HttpUtil.isKeepAlive(response)
                && (HttpUtil.isTransferEncodingChunked(response)
                        || headers.contains(HttpHeaderNames.CONTENT_LENGTH));
    }

    private void onContent(final HttpContent content) {
        if (mSkippingResponse) {
            mSkippedBytes += content.content().readableBytes();
            if (mSkippedBytes > MAXIMUM_SKIPPED_BYTES) {
                fail("the replica sent a response without end that belongs to no request");
                return;
            }
            if (content instanceof LastHttpContent) {
                mSkippingResponse = false;
            }
            return;
        }
        final ByteBuf bytes = content.content();
        mRecord.exchange().onReceived(bytes.readableBytes());
        if (isIgnoring()) {
            mIgnoredBytes += bytes.readableBytes();
            if (mIgnoredBytes > MAXIMUM_SKIPPED_BYTES) {
                fail("the rest of a response that was not used is too long");
                return;
            }
        }
        if (mJoinedBody.isJoinedBy(bytes)
                || content instanceof LastHttpContent
                        && mJoinedBody.isContinuedBy(undecodedBytes())) {
            mRecord.onUnrequestedBytes(UnrequestedKind.JOINED_BODY, mPool.nowNanos());
            fail("the body of the answer contains another answer");
            return;
        }
        if (bytes.isReadable()) {
            mListener.onBody(bytes);
        }
        if (content instanceof LastHttpContent && mListener != null) {
            finish();
        }
    }

    private void finish() {
        if (mEndsWithConnection && !mEndOfInput) {
            // The decoder ends a response without a length whenever the channel is closed.
            fail("the connection did not end in order", connectionEnd());
            return;
        }
        if (mEndsWithConnection && !mWritten && !isIgnoring()) {
            // A replica that is about to reset the connection may end its side first, and only the
            // rest of the request shows which it is.
            mAwaitsWrite = true;
            return;
        }
        final UpstreamExchange.End end =
                mEndsWithConnection ? connectionEnd() : UpstreamExchange.End.COMPLETE;
        endExchange(
                end,
                end == UpstreamExchange.End.COMPLETE || end == UpstreamExchange.End.END_OF_INPUT);
        final ExchangeListener listener = mListener;
        mListener = null;
        // If the response arrived before the request was fully written, the replica would read the
        // rest of the request as part of the next one. Bytes after the response would become a
        // part of the next response.
        if (mReusable && mWritten && !undecodedBytes().isReadable()) {
            mUsedBefore = true;
            // The caller may have paused reading in the read in which the response ended.
            setReading(true);
            mKept = true;
            mIdleSinceNanos = mPool.nowNanos();
            mPool.release(this);
        } else {
            close();
        }
        try {
            listener.onEnd();
        } catch (final RuntimeException | Error e) {
            listener.onFailed("unexpected error: " + e);
        }
    }

    private ByteBuf undecodedBytes() {
        return mChannel.pipeline().get(UpstreamResponseDecoder.class).undecodedBytes();
    }

    private UpstreamExchange.End connectionEnd() {
        if (mEndOfInput) {
            return UpstreamExchange.End.END_OF_INPUT;
        }
        return mClosed ? UpstreamExchange.End.CANCELLED : UpstreamExchange.End.RESET;
    }

    private void endExchange(final UpstreamExchange.End end, final boolean whole) {
        final UpstreamExchange exchange = mRecord.exchange();
        if (exchange != null) {
            exchange.end(end, whole, mPool.nowNanos());
        }
    }

    private void fail(final String reason) {
        fail(reason, UpstreamExchange.End.FAILURE);
    }

    private void fail(final String reason, final UpstreamExchange.End end) {
        final ExchangeListener listener = mListener;
        mListener = null;
        endExchange(end, false);
        close();
        if (listener != null) {
            listener.onFailed(mResponseStarted ? reason + " inside an answer" : reason);
        }
    }
}
