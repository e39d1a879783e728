package io.persimmonreel.daemon.connect;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.function.Consumer;

/**
 * Opens connections from an event loop.
 *
 * <p>If no socket can be opened, such as for want of descriptors, Netty fails the connect with a
 * channel that belongs to no event loop and reports that on another thread. Here the outcome is
 * always reported once, on the event loop, and after {@link #connect} has returned.
 */
public final class Connector {
    private final EventLoop mLoop;

    /**
     * Creates a connector.
     *
     * @param loop the event loop on which outcomes are reported
     */
    public Connector(final EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Opens a connection.
     *
     * @param bootstrap the options and handlers of the connection, without a group
     * @param address the remote address
     * @param onOutcome receives null if the connection is open, else the cause of the failure
     * @return the channel, which may be closed before the outcome with {@link #close}
     */
    public Channel connect(
            final Bootstrap bootstrap,
            final SocketAddress address,
            final Consumer<Throwable> onOutcome) {
        final ChannelFuture connecting = bootstrap.group(mLoop).connect(address);
        connecting.addListener(
                done ->
                        mLoop.execute(
                                () -> {
                                    if (!done.isSuccess()) {
                                        close(connecting.channel());
                                    }
                                    onOutcome.accept(done.cause());
                                }));
        return connecting.channel();
    }

    /**
     * Closes a channel, also if it belongs to no event loop.
     *
     * @param channel the channel, may be null
     */
    public static void close(final Channel channel) {
        if (channel != null && channel.isRegistered()) {
            channel.close();
        }
    }
}
