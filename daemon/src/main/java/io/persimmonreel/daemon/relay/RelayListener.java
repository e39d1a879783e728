package io.persimmonreel.daemon.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.log.EventLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Accepts the connections of callers. All methods but the constructor run on the event loop. */
final class RelayListener {
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;
    private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;

    /** A burst of new connections waits here; a full queue drops them for seconds. */
    private static final int BACKLOG = 1_024;

    /** Part of the memory limit that bodies of requests may take. */
    private static final int BODY_SHARE = 5;

    private final RelayDialect mDialect;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final Supplier<CallerLimits> mLimits;
    private final LongSupplier mHeldBytes;
    private final long mMaximumHeldBytes;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private CallerEvents mEvents;
    private boolean mLeaving;

    RelayListener(
            final RelayDialect dialect,
            final TimeSource time,
            final EventLog log,
            final Supplier<CallerLimits> limits,
            final LongSupplier heldBytes) {
        mDialect = dialect;
        mTime = time;
        mLog = log;
        mLimits = limits;
        mHeldBytes = heldBytes;
        mMaximumHeldBytes = Runtime.getRuntime().maxMemory() / BODY_SHARE;
    }

    /** Starts to listen and returns the bound address. */
    InetSocketAddress bind(
            final EventLoopGroup group, final InetSocketAddress address, final CallerEvents events)
            throws IOException {
        mEvents = events;
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        addHandlers(channel);
                                    }
                                });
        try {
            final Channel server = bootstrap.bind(address).syncUninterruptibly().channel();
            return (InetSocketAddress) server.localAddress();
        } catch (final Exception e) {
            throw new IOException("relay: can't listen on " + address, e);
        }
    }

    CallerEvents events() {
        return mEvents;
    }

    CallerLimits limits() {
        return mLimits.get();
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    CallerHead readHead(final HttpRequest request) {
        return mDialect.readRequest(request);
    }

    boolean mayBuffer(final int bytes) {
        return mHeldBytes.getAsLong() + bytes <= mMaximumHeldBytes;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    int connections() {
        return mConnections.size();
    }

    /** Answers on all connections say from now on that they close. */
    void leave() {
        mLeaving = true;
    }

    /** Closes the connections on which no request is in progress. */
    void closeIdle() {
        List.copyOf(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    /** Ends connections that exceed the time limits. */
    void check(final long nowNanos) {
        final CallerLimits limits = mLimits.get();
        List.copyOf(mConnections).forEach(connection -> connection.check(limits, nowNanos));
    }

    void onOpened(final CallerConnection connection) {
        mConnections.add(connection);
    }

    void onClosed(final CallerConnection connection) {
        mConnections.remove(connection);
    }

    void onRefused(
            final CallerRequest request, final HttpResponseStatus status, final String reason) {
        mLog.event("request", "refused")
                .put("id", request == null ? "" : request.head().attemptId())
                .put("status", status.code())
                .put("reason", reason)
                .write();
    }

    private void addHandlers(final Channel channel) {
        final CallerConnection connection = new CallerConnection(this);
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(
                                    final ChannelHandlerContext context, final Object message) {
                                connection.onBytes();
                                context.fireChannelRead(message);
                            }
                        },
                        new HttpServerCodec(
                                MAXIMUM_LINE_BYTES, limits().headerBytes(), MAXIMUM_CHUNK_BYTES),
                        connection);
    }
}
