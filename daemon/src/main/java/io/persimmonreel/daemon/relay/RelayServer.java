package io.persimmonreel.daemon.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.shutdown.CloseReason;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.connect.DescriptorLimit;
import io.persimmonreel.daemon.connect.DrainableServerChannel;
import io.persimmonreel.daemon.log.EventLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Accepts connections of callers. All methods except the constructor run on the event loop. */
final class RelayServer {
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;
    private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;

    /**
     * The length of the accept queue; a burst of connections that overflows it is dropped and
     * retried only after seconds.
     */
    private static final int BACKLOG_CONNECTIONS = 1_024;

    /** Request bodies may take up to the maximum heap size divided by this number. */
    private static final int BODY_MEMORY_DIVISOR = 5;

    /**
     * Connections of callers may take up to this share of the descriptors; the others are for
     * replicas, peers, the directory and files.
     */
    private static final double CALLER_DESCRIPTOR_SHARE = 0.7;

    /** The time without progress after which a connection is closed in a shutdown. */
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final RelayDialect mDialect;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final Supplier<CallerLimits> mLimits;
    private final LongSupplier mBufferedBytes;
    private final long mMaximumBufferedBytes;
    private long mIncomingBytes;
    private final int mMaximumConnections;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private CallerListener mListener;
    private volatile DrainableServerChannel mServerChannel;
    private boolean mShuttingDown;

    RelayServer(
            final RelayDialect dialect,
            final TimeSource time,
            final EventLog log,
            final Supplier<CallerLimits> limits,
            final LongSupplier bufferedBytes) {
        this(
                dialect,
                time,
                log,
                limits,
                bufferedBytes,
                Runtime.getRuntime().maxMemory() / BODY_MEMORY_DIVISOR);
    }

    RelayServer(
            final RelayDialect dialect,
            final TimeSource time,
            final EventLog log,
            final Supplier<CallerLimits> limits,
            final LongSupplier bufferedBytes,
            final long maximumBufferedBytes) {
        mDialect = dialect;
        mTime = time;
        mLog = log;
        mLimits = limits;
        mBufferedBytes = bufferedBytes;
        mMaximumConnections = maximumConnections(DescriptorLimit.current());
        mMaximumBufferedBytes = maximumBufferedBytes;
    }

    /** Starts listening and returns the bound address. */
    InetSocketAddress bind(
            final EventLoopGroup group,
            final InetSocketAddress address,
            final CallerListener listener)
            throws IOException {
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(DrainableServerChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(listener));
        try {
            final Channel server = bootstrap.bind(address).syncUninterruptibly().channel();
            mServerChannel = (DrainableServerChannel) server;
            return (InetSocketAddress) server.localAddress();
        } catch (final Exception e) {
            throw new IOException("relay: can't listen on " + address, e);
        }
    }

    /** Returns what adds the handlers of a caller's connection, which report to a listener. */
    ChannelInitializer<Channel> initializer(final CallerListener listener) {
        mListener = listener;
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(final Channel channel) {
                addHandlers(channel);
            }
        };
    }

    CallerListener listener() {
        return mListener;
    }

    CallerLimits limits() {
        return mLimits.get();
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    CallerHeaders readCallerHeaders(final HttpRequest request) {
        return mDialect.readRequest(request);
    }

    /** Returns whether bodies, complete or not, may take more memory. */
    boolean mayBuffer(final int bytes) {
        return mBufferedBytes.getAsLong() + mIncomingBytes + bytes <= mMaximumBufferedBytes;
    }

    /**
     * Changes the size of the bodies that are not complete.
     *
     * @param bytes the bytes that arrived, or negative, those of a body that is complete or dropped
     */
    void addIncomingBytes(final int bytes) {
        mIncomingBytes += bytes;
    }

    boolean isShuttingDown() {
        return mShuttingDown;
    }

    int connectionCount() {
        return mConnections.size();
    }

    /** Makes all connections close after their next response. */
    void beginShutdown() {
        mShuttingDown = true;
    }

    /**
     * Closes the connections on which no request is in progress, unless they were used or opened
     * just now: a request that is on its way would get no response.
     */
    void closeIdle() {
        final long now = nowNanos();
        List.copyOf(mConnections).stream()
                .filter(connection -> now - connection.lastProgressNanos() >= IDLE_NANOS)
                .forEach(CallerConnection::closeIfIdle);
    }

    /** Closes the listening socket once the connections in its queue are accepted. */
    void stopListening(final CloseReason reason) {
        if (isListening()) {
            mServerChannel.drainAndClose(accepted -> onListenerClosed(reason, accepted));
        }
    }

    boolean isListening() {
        return mServerChannel != null && mServerChannel.isOpen();
    }

    /** Refuses the requests that have not arrived completely, and closes all idle connections. */
    void closeUnanswered() {
        List.copyOf(mConnections).forEach(CallerConnection::closeUnanswered);
    }

    /** Ends the connections that exceed a time limit. */
    void closeTimedOut(final long nowNanos) {
        final CallerLimits limits = mLimits.get();
        List.copyOf(mConnections)
                .forEach(connection -> connection.closeIfTimedOut(limits, nowNanos));
    }

    void onOpened(final CallerConnection connection) {
        mConnections.add(connection);
        if (mConnections.size() > mMaximumConnections) {
            makeRoom(connection);
        }
    }

    /** Closes the connection that was idle for longest, or else the newest one, unread. */
    private void makeRoom(final CallerConnection newest) {
        mConnections.stream()
                .filter(connection -> connection != newest && connection.isIdle())
                .min(Comparator.comparingLong(CallerConnection::lastProgressNanos))
                .orElse(newest)
                .close();
    }

    static int maximumConnections(final OptionalInt descriptors) {
        return descriptors.isPresent()
                ? (int) (descriptors.getAsInt() * CALLER_DESCRIPTOR_SHARE)
                : Integer.MAX_VALUE;
    }

    void onClosed(final CallerConnection connection) {
        mConnections.remove(connection);
    }

    private void onListenerClosed(final CloseReason reason, final int accepted) {
        mLog.event("daemon", "listener-closed")
                .put("reason", reason.label())
                .put("accepted_last", accepted)
                .put("connections", mConnections.size())
                .write();
    }

    void onUnexpectedError(final Throwable cause) {
        mLog.event("caller", "error").put("error", String.valueOf(cause)).write();
    }

    /** Logs a response whose request has ended already; it is not written. */
    void onStrayResponse(final CallerRequest request) {
        mLog.event("caller", "stray-response")
                .put("id", request.callerHeaders().attemptId())
                .write();
    }

    void onRefused(
            final CallerRequest request, final HttpResponseStatus status, final String reason) {
        mLog.event("request", "refused")
                .put("id", request == null ? "" : request.callerHeaders().attemptId())
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
                                connection.onBytesReceived();
                                context.fireChannelRead(message);
                            }
                        },
                        new HttpServerCodec(
                                MAXIMUM_LINE_BYTES, limits().headerBytes(), MAXIMUM_CHUNK_BYTES),
                        connection);
    }
}
