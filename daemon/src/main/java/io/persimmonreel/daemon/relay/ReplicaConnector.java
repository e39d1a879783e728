package io.persimmonreel.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Opens connections to replicas. */
@FunctionalInterface
interface ReplicaConnector {
    /**
     * Opens a connection.
     *
     * @param address the address of the replica
     * @param initializer adds the handlers of the connection
     * @param onOutcome receives null if the connection is open, else the cause of the failure, on
     *     the event loop and after this method has returned
     */
    void connect(
            SocketAddress address,
            ChannelInitializer<Channel> initializer,
            Consumer<Throwable> onOutcome);
}
