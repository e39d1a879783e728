package io.persimmonreel.daemon.connect;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** A listening socket that accepts the connections in its queue before it is closed. */
public final class DrainableServerChannel extends NioServerSocketChannel {
    /**
     * The time in milliseconds after which the selector has released the socket. A registered
     * socket would listen on until the next selection, and reset what arrives until then.
     */
    private static final int RELEASE_MILLIS = 1;

    private boolean mDraining;

    /**
     * Accepts the connections that the operating system holds, and closes the socket. Further
     * connections are refused. Must be called on the event loop; a second call does nothing.
     *
     * @param onClosed receives the number of connections that were accepted last
     */
    public void drainAndClose(final IntConsumer onClosed) {
        if (mDraining) {
            return;
        }
        mDraining = true;
        deregister()
                .addListener(
                        released ->
                                eventLoop()
                                        .schedule(
                                                () -> acceptAndClose(onClosed),
                                                RELEASE_MILLIS,
                                                TimeUnit.MILLISECONDS));
    }

    private void acceptAndClose(final IntConsumer onClosed) {
        final List<Object> accepted = new ArrayList<>();
        try {
            int count;
            do {
                count = doReadMessages(accepted);
            } while (count > 0);
        } catch (final Exception e) {
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        onClosed.accept(accepted.size());
    }
}
