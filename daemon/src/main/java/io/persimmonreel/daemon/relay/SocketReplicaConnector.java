package io.persimmonreel.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.persimmonreel.daemon.connect.Connector;
import java.net.SocketAddress;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/** Opens TCP connections to replicas. */
final class SocketReplicaConnector implements ReplicaConnector {
    /**
     * The connect timeout; a replica in the same region accepts a connection within a few
     * milliseconds.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * The idle time before the first TCP keep-alive probe and the interval between probes; the
     * probes detect replicas that became silent.
     */
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private final Connector mConnector;

    SocketReplicaConnector(final EventLoop loop) {
        mConnector = new Connector(loop);
    }

    @Override
    public void connect(
            final SocketAddress address,
            final ChannelInitializer<Channel> initializer,
            final Consumer<Throwable> onOutcome) {
        final Bootstrap bootstrap =
                new Bootstrap()
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        // Reports the end of the input apart from the end of the channel.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                                KEEP_ALIVE_INTERVAL_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                                KEEP_ALIVE_INTERVAL_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                                KEEP_ALIVE_PROBES)
                        .handler(initializer);
        mConnector.connect(bootstrap, address, onOutcome);
    }
}
