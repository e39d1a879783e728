package io.persimmonreel.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.persimmonreel.core.request.Problem;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Closes a connection that takes too long to send one request, headers and body together, and
 * refuses requests that are not valid HTTP before Ratpack handles them.
 *
 * <p>Ratpack would answer malformed headers and targets with plain text, and would take a body that
 * ends at a malformed chunk for a complete one.
 */
final class ConnectionGuard extends ChannelDuplexHandler {
    private final Duration mReceiveTimeout;
    private final Supplier<Problem> mMalformedRecorder;
    private Future<?> mTimeoutTask;
    private boolean mMessageRead;
    private boolean mRequestInProgress;
    private boolean mClosing;

    /**
     * Creates a guard for one connection.
     *
     * @param receiveTimeout the time after which an incomplete request ends the connection
     * @param malformedRecorder records the refusal of a malformed request and returns its problem
     */
    ConnectionGuard(final Duration receiveTimeout, final Supplier<Problem> malformedRecorder) {
        mReceiveTimeout = receiveTimeout;
        mMalformedRecorder = malformedRecorder;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        mMessageRead = true;
        if (mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpObject object && isMalformed(object)) {
            ReferenceCountUtil.release(message);
            refuse(context, message instanceof HttpRequest && !mRequestInProgress);
            return;
        }
        if (message instanceof HttpRequest) {
            mRequestInProgress = true;
            startTimeout(context);
        }
        if (message instanceof LastHttpContent) {
            stopTimeout();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        // The codec also calls this after bytes that do not complete the headers yet.
        if (!mMessageRead && !mRequestInProgress) {
            startTimeout(context);
        }
        mMessageRead = false;
        context.fireChannelReadComplete();
    }

    @Override
    public void write(
            final ChannelHandlerContext context,
            final Object message,
            final ChannelPromise promise) {
        final boolean interim =
                message instanceof HttpResponse response
                        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (message instanceof LastHttpContent && !interim) {
            mRequestInProgress = false;
        }
        context.write(message, promise);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        stopTimeout();
        context.fireChannelInactive();
    }

    private static boolean isMalformed(final HttpObject object) {
        return object.decoderResult().isFailure()
                || object instanceof HttpRequest request && !isValidTarget(request.uri());
    }

    /** Accepts a path, or an absolute URI, which HTTP/1.1 servers have to accept as well. */
    private static boolean isValidTarget(final String target) {
        if (target.startsWith("/")) {
            return true;
        }
        try {
            return new URI(target).getHost() != null;
        } catch (final URISyntaxException e) {
            return false;
        }
    }

    private void startTimeout(final ChannelHandlerContext context) {
        if (mTimeoutTask == null) {
            mTimeoutTask =
                    context.executor()
                            .schedule(
                                    () -> context.channel().close(),
                                    mReceiveTimeout.toNanos(),
                                    TimeUnit.NANOSECONDS);
        }
    }

    private void stopTimeout() {
        if (mTimeoutTask != null) {
            mTimeoutTask.cancel(false);
            mTimeoutTask = null;
        }
    }

    private void refuse(final ChannelHandlerContext context, final boolean canRespond) {
        mClosing = true;
        final Problem problem = mMalformedRecorder.get();
        if (!canRespond) {
            context.channel().close();
            return;
        }
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(problem.type().status()),
                        Unpooled.copiedBuffer(ProblemDocument.of(problem), StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
