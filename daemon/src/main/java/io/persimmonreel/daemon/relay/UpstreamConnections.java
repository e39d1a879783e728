package io.persimmonreel.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import jdk.net.ExtendedSocketOptions;

/** Keeps idle connections to replicas and opens new ones. All methods run on the event loop. */
final class UpstreamConnections {
    /** A replica in the same region accepts within a few milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** Idle connections kept for each replica. */
    private static final int MAXIMUM_IDLE = 12;

    /** A connection that was used this lately is not yet dropped by any replica. */
    private static final long FRESH_NANOS = Duration.ofMillis(900).toNanos();

    /** Keep-alive probes in seconds; they find peers that fell silent. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
    private static final int MAXIMUM_LINE_BYTES = 4_096;
    private static final int MAXIMUM_HEADER_BYTES = 32 * 1024;
    private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;

    private final EventLoop mLoop;
    private final RelayDialect mDialect;
    private final TimeSource mTime;
    private final Map<Replica, Deque<UpstreamConnection>> mIdle = new HashMap<>();
    private long mOpened;

    UpstreamConnections(final EventLoop loop, final RelayDialect dialect, final TimeSource time) {
        mLoop = loop;
        mDialect = dialect;
        mTime = time;
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    /** Returns how many connections were opened since the start. */
    long opened() {
        return mOpened;
    }

    /**
     * Finds an idle connection or opens one.
     *
     * @param replica the replica
     * @param fresh whether only a connection that was used a moment ago may be taken
     * @param consumer receives the connection, or null and the reason
     */
    void acquire(
            final Replica replica,
            final boolean fresh,
            final BiConsumer<UpstreamConnection, String> consumer) {
        final Deque<UpstreamConnection> idle = mIdle.get(replica);
        while (idle != null && !idle.isEmpty()) {
            final UpstreamConnection connection = idle.pollLast();
            final long age = nowNanos() - connection.idleSinceNanos();
            final boolean usable = connection.isIdle() && age < connection.idleLimitNanos();
            if (usable && (!fresh || age < FRESH_NANOS)) {
                consumer.accept(connection, null);
                return;
            }
            connection.close();
        }
        open(replica, consumer);
    }

    /** Takes back a connection after its exchange. */
    void release(final UpstreamConnection connection) {
        final Deque<UpstreamConnection> idle =
                mIdle.computeIfAbsent(connection.replica(), replica -> new ArrayDeque<>());
        if (idle.size() >= MAXIMUM_IDLE) {
            idle.pollFirst().close();
        }
        idle.addLast(connection);
    }

    void onClosed(final UpstreamConnection connection) {
        final Deque<UpstreamConnection> idle = mIdle.get(connection.replica());
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            mIdle.remove(connection.replica());
        }
    }

    /** Tells whether a kept connection to a replica is still open, so that the replica lives. */
    boolean hasOpen(final Replica replica) {
        final Deque<UpstreamConnection> idle = mIdle.get(replica);
        return idle != null && idle.stream().anyMatch(UpstreamConnection::isOpen);
    }

    /** Closes connections that were idle for too long. */
    void closeIdle() {
        final long now = nowNanos();
        final List<UpstreamConnection> old = new ArrayList<>();
        for (final Deque<UpstreamConnection> idle : mIdle.values()) {
            for (final UpstreamConnection connection : idle) {
                if (now - connection.idleSinceNanos() >= connection.idleLimitNanos()) {
                    old.add(connection);
                }
            }
        }
        old.forEach(UpstreamConnection::close);
    }

    private void open(
            final Replica replica, final BiConsumer<UpstreamConnection, String> consumer) {
        mOpened++;
        final UpstreamConnection connection = new UpstreamConnection(replica, this, mDialect);
        final ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                                KEEP_ALIVE_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                                KEEP_ALIVE_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                                KEEP_ALIVE_PROBES)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        decoder(connection),
                                                        connection);
                                    }
                                })
                        .connect(replica.entry().host(), replica.entry().port());
        connecting.addListener(
                done -> {
                    if (done.isSuccess() && connection.isOpen()) {
                        consumer.accept(connection, null);
                    } else {
                        connecting.channel().close();
                        consumer.accept(null, String.valueOf(done.cause()));
                    }
                });
    }

    /** Answers to HEAD state the length of a body that does not follow. */
    private static HttpResponseDecoder decoder(final UpstreamConnection connection) {
        return new HttpResponseDecoder(
                MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES) {
            @Override
            protected boolean isContentAlwaysEmpty(final HttpMessage message) {
                return connection.isHead() || super.isContentAlwaysEmpty(message);
            }
        };
    }
}
