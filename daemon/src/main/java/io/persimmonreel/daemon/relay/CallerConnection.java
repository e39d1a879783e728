package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Reads one request at a time from a caller and writes its answer.
 *
 * <p>Requests that arrive before the answer of the one before wait. All methods run on the event
 * loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Objects of later requests that may wait; a caller that sends more is disconnected. */
    private static final int MAXIMUM_EARLY_OBJECTS = 256;

    private final RelayListener mListener;
    private final Deque<HttpObject> mEarly = new ArrayDeque<>();
    private Channel mChannel;
    private CallerRequest mReceiving;
    private CallerRequest mAnswering;
    private long mSinceNanos;
    private boolean mHasBytes;
    private boolean mClosing;

    CallerConnection(final RelayListener listener) {
        mListener = listener;
    }

    /**
     * Answers the present request with a whole answer.
     *
     * @param status the status
     * @param headers end-to-end fields
     * @param body the body, taken over
     */
    void answer(final HttpResponseStatus status, final HttpHeaders headers, final ByteBuf body) {
        final boolean keep = keepsAlive();
        final FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        final boolean head = mAnswering.request().method().equals(HttpMethod.HEAD);
        if (!head || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        finish(response, keep);
    }

    /**
     * Starts a streamed answer.
     *
     * @param status the status
     * @param headers end-to-end fields
     */
    void startStream(final HttpResponseStatus status, final HttpHeaders headers) {
        final HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        if (!keepsAlive()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mClosing = true;
        }
        mChannel.writeAndFlush(response);
    }

    /**
     * Writes bytes of a streamed answer.
     *
     * @param bytes the bytes, taken over
     */
    void stream(final ByteBuf bytes) {
        mChannel.writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** Ends a streamed answer that is whole. */
    void endStream() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT, !mClosing);
    }

    /** Breaks off, so that a streamed answer does not look whole. */
    void abort() {
        mAnswering = null;
        mChannel.close();
    }

    /** Closes the connection if it is idle, as at the end of the process. */
    void closeIfIdle() {
        if (mAnswering == null && mReceiving == null && !mHasBytes) {
            mChannel.close();
        }
    }

    /** Ends connections that take too long, by the limits of the configuration. */
    void check(final CallerLimits limits, final long nowNanos) {
        if (mAnswering != null) {
            return;
        }
        final long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - mSinceNanos);
        if (mReceiving != null) {
            if (age > limits.idleMillis()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the body took too long");
            }
        } else if (mHasBytes) {
            if (age > limits.headerMillis()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the head took too long");
            }
        } else if (age > limits.idleMillis()) {
            mChannel.close();
        }
    }

    /** Notes that bytes arrived, of which the codec may not make a message yet. */
    void onBytes() {
        if (!mHasBytes && mReceiving == null && mAnswering == null) {
            mHasBytes = true;
            mSinceNanos = mListener.nowNanos();
        }
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
        mChannel = context.channel();
        mSinceNanos = mListener.nowNanos();
        mListener.onOpened(this);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mListener.onClosed(this);
        mReceiving = null;
        releaseEarly();
        final CallerRequest gone = mAnswering;
        mAnswering = null;
        if (gone != null) {
            mListener.events().onCallerGone(gone);
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (mAnswering != null) {
            mListener.events().onCallerWritable(mAnswering, mChannel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        // The caller reset the connection; channelInactive follows.
        context.close();
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        final HttpObject object = (HttpObject) message;
        if (mClosing && mAnswering == null || mEarly.size() >= MAXIMUM_EARLY_OBJECTS) {
            ReferenceCountUtil.release(object);
            if (mEarly.size() >= MAXIMUM_EARLY_OBJECTS) {
                mChannel.close();
            }
        } else if (mAnswering != null) {
            mEarly.add(object);
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
                onHead(request);
            }
            if (object instanceof HttpContent content && mReceiving != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void onHead(final HttpRequest request) {
        mHasBytes = false;
        mSinceNanos = mListener.nowNanos();
        final RelayRefusal refusal = RequestCheck.refusal(request, mListener.limits());
        mReceiving = new CallerRequest(request, mListener.readHead(request), this, mSinceNanos);
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
        final long size = (long) mReceiving.body().readableBytes() + bytes.readableBytes();
        if (size > mListener.limits().bodyBytes() || !mListener.mayBuffer(bytes.readableBytes())) {
            final boolean tooLarge = size > mListener.limits().bodyBytes();
            refuse(
                    tooLarge
                            ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                            : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    tooLarge ? "the body is too large" : "too many bodies are held");
            return;
        }
        if (bytes.isReadable()) {
            mReceiving.append(bytes);
            mSinceNanos = mListener.nowNanos();
        }
        if (content instanceof LastHttpContent) {
            mAnswering = mReceiving;
            mReceiving = null;
            mListener.events().onRequest(mAnswering);
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

    /** Answers a request that was not read whole and closes, since its rest may follow. */
    private void refuse(final HttpResponseStatus status, final String reason) {
        mListener.onRefused(mReceiving, status, reason);
        mReceiving = null;
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
        mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private boolean keepsAlive() {
        return mAnswering != null
                && HttpUtil.isKeepAlive(mAnswering.request())
                && !mListener.isLeaving();
    }

    private void finish(final HttpObject last, final boolean keep) {
        mAnswering = null;
        mSinceNanos = mListener.nowNanos();
        if (last instanceof FullHttpResponse response && !keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (!keep) {
            mClosing = true;
            releaseEarly();
            mChannel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mChannel.writeAndFlush(last);
        while (mAnswering == null && !mEarly.isEmpty()) {
            handle(mEarly.poll());
        }
    }

    private void releaseEarly() {
        mEarly.forEach(ReferenceCountUtil::release);
        mEarly.clear();
    }
}
