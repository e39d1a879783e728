package io.persimmonreel.daemon.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Listens without accepting, with a full queue, so that further connections are never set up. */
final class UnacceptingListener implements AutoCloseable {
    private static final int QUEUE_PROBE_MILLIS = 200;
    private static final int MAXIMUM_QUEUED = 16;

    private final ServerSocket mServer;
    private final List<SocketChannel> mQueued = new ArrayList<>();

    UnacceptingListener() throws IOException {
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        boolean full = false;
        while (!full && mQueued.size() < MAXIMUM_QUEUED) {
            final SocketChannel channel = SocketChannel.open();
            mQueued.add(channel);
            try {
                channel.socket()
                        .connect(
                                new InetSocketAddress(mServer.getInetAddress(), port()),
                                QUEUE_PROBE_MILLIS);
            } catch (final SocketTimeoutException e) {
                full = true;
            }
        }
    }

    int port() {
        return mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (final SocketChannel channel : mQueued) {
            channel.close();
        }
        mServer.close();
    }
}
