package io.persimmonreel.daemon.directory;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.persimmonreel.daemon.connect.Connector;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Sends GET requests one after another on a persistent connection.
 *
 * <p>A call that fails or times out closes its connection, since a late response could be taken for
 * that of the next call. All methods run on the event loop.
 */
public final class HttpGetClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop mLoop;
    private final Connector mConnector;
    private final InetSocketAddress mAddress;
    private final int mMaximumBytes;
    private Channel mChannel;
    private Callback mCallback;
    private Future<?> mTimeout;

    /** Receives the result of a call; exactly one method is called, once. */
    public interface Callback {
        /**
         * Reports a response.
         *
         * @param status the status
         * @param headers the header fields
         * @param body the body
         */
        void onResponse(int status, HttpHeaders headers, byte[] body);

        /**
         * Reports a response that is malformed or too long.
         *
         * @param reason the reason, one short sentence
         */
        void onUnusable(String reason);

        /**
         * Reports that there is no response.
         *
         * @param reason the reason, one short sentence
         */
        void onFailure(String reason);
    }

    /**
     * Creates a client, which connects at the first call.
     *
     * @param loop the event loop
     * @param address the address of the server
     * @param maximumBytes the maximum size of a response body in bytes
     */
    public HttpGetClient(
            final EventLoop loop, final InetSocketAddress address, final int maximumBytes) {
        mLoop = loop;
        mConnector = new Connector(loop);
        mAddress = address;
        mMaximumBytes = maximumBytes;
    }

    /**
     * Sends a request. No other call may be in progress.
     *
     * @param target the path and query
     * @param timeoutMillis the timeout of the call in milliseconds
     * @param callback receives the result
     */
    public void get(final String target, final long timeoutMillis, final Callback callback) {
        if (mCallback != null) {
            throw new IllegalStateException("a call is in progress");
        }
        mCallback = callback;
        mTimeout =
                mLoop.schedule(
                        () -> fail("no response within " + timeoutMillis + " ms"),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        if (mChannel != null && mChannel.isActive()) {
            write(target);
            return;
        }
        final Bootstrap bootstrap =
                new Bootstrap()
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(initializer());
        mChannel =
                mConnector.connect(
                        bootstrap, mAddress, failure -> onConnected(callback, target, failure));
    }

    private void onConnected(
            final Callback callback, final String target, final Throwable failure) {
        if (mCallback != callback) {
            return;
        }
        if (failure == null) {
            write(target);
        } else {
            fail(String.valueOf(failure));
        }
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(final Channel channel) {
                channel.pipeline()
                        .addLast(
                                new IdleBytesHandler(),
                                new HttpClientCodec(),
                                new HttpObjectAggregator(mMaximumBytes),
                                new ResponseHandler());
            }
        };
    }

    private void write(final String target) {
        final DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
        request.headers()
                .set(HttpHeaderNames.HOST, mAddress.getHostString() + ":" + mAddress.getPort());
        mChannel.writeAndFlush(request);
    }

    private void fail(final String reason) {
        final Callback callback = closeCall();
        if (callback != null) {
            callback.onFailure(reason);
        }
    }

    private void reject(final String reason) {
        final Callback callback = closeCall();
        if (callback != null) {
            callback.onUnusable(reason);
        }
    }

    private Callback closeCall() {
        final Callback callback = endCall();
        Connector.close(mChannel);
        mChannel = null;
        return callback;
    }

    private Callback endCall() {
        final Callback callback = mCallback;
        mCallback = null;
        if (mTimeout != null) {
            mTimeout.cancel(false);
            mTimeout = null;
        }
        return callback;
    }

    /**
     * Closes the connection if bytes arrive while no call is in progress. They would be taken for
     * the response to the next call, or for the beginning of its head.
     */
    private final class IdleBytesHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            if (mCallback == null) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                context.fireChannelRead(message);
            }
        }
    }

    /** Receives the responses of one connection. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final FullHttpResponse response) {
            if (context.channel() != mChannel) {
                return;
            }
            if (response.decoderResult().isFailure()) {
                reject("the response is malformed");
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                mChannel.close();
                mChannel = null;
            }
            final Callback callback = endCall();
            if (callback != null) {
                callback.onResponse(
                        response.status().code(),
                        response.headers(),
                        ByteBufUtil.getBytes(response.content()));
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            if (context.channel() == mChannel) {
                fail("the connection was closed");
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            if (context.channel() == mChannel) {
                if (cause instanceof TooLongFrameException) {
                    reject("the response exceeds " + mMaximumBytes + " bytes");
                } else {
                    fail(String.valueOf(cause.getMessage()));
                }
            }
            context.close();
        }
    }
}
