package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.persimmonreel.core.route.CallerLimits;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Handles one connection from a caller: reads one request at a time and writes its response.
 *
 * <p>Pipelined requests wait until the response to the request before them is complete. All methods
 * run on the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /**
     * The maximum number of HTTP objects of pipelined requests that are buffered; a caller that
     * sends more is disconnected.
     */
    private static final int MAXIMUM_PIPELINED_OBJECTS = 256;

    private final RelayServer mServer;
    private final Deque<HttpObject> mPipelined = new ArrayDeque<>();
    private Channel mChannel;
    private CallerRequest mIncomingRequest;
    private CallerRequest mCurrentRequest;
    private long mLastProgressNanos;
    private boolean mHasReceivedBytes;
    private boolean mClosing;
    private boolean mPipelinedScheduled;
    private ChannelFuture mLastResponse;
    private long mUnsentBytes;

    CallerConnection(final RelayServer server) {
        mServer = server;
    }

    /**
     * Writes a complete response.
     *
     * @param request the request, which must be the current one
     * @param status the status
     * @param headers the end-to-end headers
     * @param body the body, whose ownership passes to this connection
     */
    void respond(
            final CallerRequest request,
            final HttpResponseStatus status,
            final HttpHeaders headers,
            final ByteBuf body) {
        if (!isCurrent(request)) {
            body.release();
            return;
        }
        final boolean keepAlive = isKeptAlive();
        final FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        final boolean isHeadRequest = mCurrentRequest.request().method().equals(HttpMethod.HEAD);
        if (!isHeadRequest || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        finish(response, keepAlive);
    }

    /**
     * Starts a streamed response.
     *
     * @param request the request, which must be the current one
     * @param status the status
     * @param headers the end-to-end headers
     */
    void startStream(
            final CallerRequest request,
            final HttpResponseStatus status,
            final HttpHeaders headers) {
        if (!isCurrent(request)) {
            return;
        }
        final HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        if (!isKeptAlive()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mClosing = true;
        }
        write(response);
    }

    /**
     * Writes bytes of a streamed response.
     *
     * @param request the request, which must be the current one
     * @param bytes the bytes, whose ownership passes to this connection
     */
    void stream(final CallerRequest request, final ByteBuf bytes) {
        if (!isCurrent(request)) {
            bytes.release();
            return;
        }
        write(new DefaultHttpContent(bytes));
    }

    /**
     * Ends a streamed response that is complete.
     *
     * @param request the request, which must be the current one
     */
    void endStream(final CallerRequest request) {
        if (isCurrent(request)) {
            finish(LastHttpContent.EMPTY_LAST_CONTENT, !mClosing);
        }
    }

    /**
     * Closes the connection without ending the response, so that the caller sees it as incomplete.
     *
     * @param request the request, which must be the current one
     */
    void abort(final CallerRequest request) {
        if (isCurrent(request)) {
            mCurrentRequest = null;
            mChannel.close();
        }
    }

    /**
     * Returns whether a request waits for its response. Writing a response to another one would
     * hand it to the wrong request.
     */
    private boolean isCurrent(final CallerRequest request) {
        if (mCurrentRequest == request) {
            return true;
        }
        mServer.onStrayResponse(request);
        return false;
    }

    /** Writes a part of a response; if that fails, the connection is closed. */
    private ChannelFuture write(final HttpObject part) {
        return mChannel.writeAndFlush(part).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes the connection if it is idle; called during shutdown. */
    void closeIfIdle() {
        if (isIdle()) {
            close();
        }
    }

    /**
     * Ends the connection unless a request waits for its response or a response is being sent;
     * called at the end of the process.
     */
    void closeUnanswered() {
        if (mCurrentRequest != null || !isResponseSent()) {
            return;
        }
        if (mIncomingRequest != null || mHasReceivedBytes) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the daemon ends");
        } else {
            mChannel.close();
        }
    }

    /** Returns whether no request or response is in progress. */
    boolean isIdle() {
        return mCurrentRequest == null
                && mIncomingRequest == null
                && !mHasReceivedBytes
                && mPipelined.isEmpty()
                && isResponseSent();
    }

    /** Returns when the connection made progress last, in nanoseconds of the monotonic clock. */
    long lastProgressNanos() {
        return mLastProgressNanos;
    }

    void close() {
        mChannel.close();
    }

    /** Ends the connection if the caller exceeds a time limit of the configuration. */
    void closeIfTimedOut(final CallerLimits limits, final long nowNanos) {
        if (mCurrentRequest != null) {
            return;
        }
        if (!isResponseSent()) {
            checkSendProgress(nowNanos);
        }
        final long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - mLastProgressNanos);
        if (mIncomingRequest != null) {
            if (age > limits.idleMillis()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the body took too long");
            }
        } else if (mHasReceivedBytes) {
            if (age > limits.headerMillis()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the head took too long");
            }
        } else if (age > limits.idleMillis()) {
            mChannel.close();
        }
    }

    /** Returns whether no part of the last response is queued for the caller. */
    private boolean isResponseSent() {
        return mLastResponse == null || mLastResponse.isDone();
    }

    /** Takes bytes that left the queue since the last check as progress. */
    private void checkSendProgress(final long nowNanos) {
        final ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        final long unsentBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        if (unsentBytes != mUnsentBytes) {
            mUnsentBytes = unsentBytes;
            mLastProgressNanos = nowNanos;
        }
    }

    /** Records that bytes arrived, which may not form a complete message yet. */
    void onBytesReceived() {
        if (!mHasReceivedBytes && mIncomingRequest == null && mCurrentRequest == null) {
            mHasReceivedBytes = true;
            mLastProgressNanos = mServer.nowNanos();
        }
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
        mChannel = context.channel();
        mLastProgressNanos = mServer.nowNanos();
        mServer.onOpened(this);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mServer.onClosed(this);
        endIncomingRequest();
        releasePipelined();
        final CallerRequest abandoned = mCurrentRequest;
        mCurrentRequest = null;
        if (abandoned != null) {
            mServer.listener().onCallerGone(abandoned);
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (mCurrentRequest != null) {
            mServer.listener().onCallerWritable(mCurrentRequest, mChannel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        onError(cause);
    }

    private void onError(final Throwable cause) {
        // A reset by the caller is normal; any other error ends only this connection.
        if (!(cause instanceof IOException)) {
            mServer.onUnexpectedError(cause);
        }
        mChannel.close();
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        final HttpObject object = (HttpObject) message;
        if (mClosing && mCurrentRequest == null || mPipelined.size() >= MAXIMUM_PIPELINED_OBJECTS) {
            ReferenceCountUtil.release(object);
            if (mPipelined.size() >= MAXIMUM_PIPELINED_OBJECTS) {
                mChannel.close();
            }
        } else if (mCurrentRequest != null || mPipelinedScheduled) {
            mPipelined.add(object);
        } else {
            handle(object);
        }
    }

    private void handle(final HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                onMalformed(object.decoderResult().cause());
                return;
            }
            if (object instanceof HttpRequest request) {
                onRequestHeaders(request);
            }
            if (object instanceof HttpContent content && mIncomingRequest != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void onRequestHeaders(final HttpRequest request) {
        mHasReceivedBytes = false;
        mLastProgressNanos = mServer.nowNanos();
        final RelayRefusal refusal = RequestValidator.validate(request, mServer.limits());
        mIncomingRequest =
                new CallerRequest(
                        request, mServer.readCallerHeaders(request), this, mLastProgressNanos);
        if (refusal != null) {
            refuse(refusal.status(), refusal.reason());
        } else if (HttpUtil.is100ContinueExpected(request)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(final HttpContent content) {
        final ByteBuf bytes = content.content();
        final long size = (long) mIncomingRequest.body().readableBytes() + bytes.readableBytes();
        if (size > mServer.limits().bodyBytes() || !mServer.mayBuffer(bytes.readableBytes())) {
            final boolean tooLarge = size > mServer.limits().bodyBytes();
            refuse(
                    tooLarge
                            ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                            : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    tooLarge ? "the body is too large" : "too many bodies are held");
            return;
        }
        if (bytes.isReadable()) {
            mServer.addIncomingBytes(bytes.readableBytes());
            mIncomingRequest.append(bytes);
            mLastProgressNanos = mServer.nowNanos();
        }
        if (content instanceof LastHttpContent) {
            mCurrentRequest = mIncomingRequest;
            endIncomingRequest();
            mServer.listener().onRequest(mCurrentRequest);
        }
    }

    /** Ends the arrival of a request, which is complete or dropped. */
    private void endIncomingRequest() {
        if (mIncomingRequest != null) {
            mServer.addIncomingBytes(-mIncomingRequest.body().readableBytes());
            mIncomingRequest = null;
        }
    }

    private void onMalformed(final Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large");
        } else if (cause instanceof TooLongHttpLineException) {
            refuse(HttpResponseStatus.REQUEST_URI_TOO_LONG, "the request line is too long");
        } else {
            refuse(HttpResponseStatus.BAD_REQUEST, "the request is malformed");
        }
    }

    /**
     * Refuses a request that was not read completely and closes the connection, since the rest of
     * the request may still arrive.
     */
    private void refuse(final HttpResponseStatus status, final String reason) {
        mServer.onRefused(mIncomingRequest, status, reason);
        endIncomingRequest();
        mClosing = true;
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        mLastResponse = mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private boolean isKeptAlive() {
        return mCurrentRequest != null
                && HttpUtil.isKeepAlive(mCurrentRequest.request())
                && !mServer.isShuttingDown();
    }

    private void finish(final HttpObject last, final boolean keepAlive) {
        mCurrentRequest = null;
        mLastProgressNanos = mServer.nowNanos();
        if (last instanceof FullHttpResponse response && !keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (!keepAlive) {
            mClosing = true;
            releasePipelined();
            mLastResponse = mChannel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mLastResponse = write(last);
        if (!mPipelined.isEmpty() && !mPipelinedScheduled) {
            mPipelinedScheduled = true;
            mChannel.eventLoop().execute(this::handlePipelined);
        }
    }

    /**
     * Handles pipelined requests in an event of their own, since a request that is refused at once
     * leads to the next one.
     */
    private void handlePipelined() {
        try {
            while (mCurrentRequest == null && !mPipelined.isEmpty()) {
                handle(mPipelined.poll());
            }
        } catch (final RuntimeException | Error e) {
            onError(e);
        } finally {
            mPipelinedScheduled = false;
        }
    }

    private void releasePipelined() {
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
    }
}
