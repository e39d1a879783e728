package io.persimmonreel.daemon.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Serves a few fixed pages over HTTP, such as readiness and metrics. */
final class StatusServer {
    private static final int MAXIMUM_REQUEST_BYTES = 8 * 1024;

    /** The time in seconds after which a connection without a request is closed. */
    private static final int IDLE_SECONDS = 60;

    private final Map<String, Page> mPages;

    /**
     * Creates a server.
     *
     * @param pages the pages by path
     */
    StatusServer(final Map<String, Page> pages) {
        mPages = Map.copyOf(pages);
    }

    /** Creates the response for a path. */
    interface Page {
        /**
         * Creates the response.
         *
         * @return the response
         * @throws IOException if the response can't be created
         */
        Response make() throws IOException;
    }

    /**
     * Holds a response.
     *
     * @param status the status
     * @param type the media type
     * @param body the body
     */
    record Response(HttpResponseStatus status, String type, byte[] body) {
        static Response text(final HttpResponseStatus status, final String body) {
            return new Response(
                    status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
        }
    }

    InetSocketAddress bind(final EventLoopGroup group, final InetSocketAddress address)
            throws IOException {
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new ReadTimeoutHandler(IDLE_SECONDS),
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(
                                                                MAXIMUM_REQUEST_BYTES),
                                                        new Handler());
                                    }
                                });
        try {
            return (InetSocketAddress)
                    bootstrap.bind(address).syncUninterruptibly().channel().localAddress();
        } catch (final Exception e) {
            throw new IOException("status: can't listen on " + address, e);
        }
    }

    private Response responseFor(final String target) {
        final int query = target.indexOf('?');
        final Page page = mPages.get(query < 0 ? target : target.substring(0, query));
        if (page == null) {
            return Response.text(HttpResponseStatus.NOT_FOUND, "unknown path\n");
        }
        try {
            return page.make();
        } catch (final IOException e) {
            return Response.text(HttpResponseStatus.INTERNAL_SERVER_ERROR, e.getMessage() + "\n");
        }
    }

    /** Serves the requests of one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final FullHttpRequest request) {
            final Response content = responseFor(request.uri());
            final FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            content.status(),
                            Unpooled.wrappedBuffer(content.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, content.type())
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
            if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }
}
