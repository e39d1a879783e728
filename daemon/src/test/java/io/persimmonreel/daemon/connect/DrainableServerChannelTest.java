package io.persimmonreel.daemon.connect;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DrainableServerChannelTest {
    private static final int WAIT_MILLIS = 5_000;
    private static final int CONNECTIONS = 40;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final BlockingQueue<Integer> mDrained = new LinkedBlockingQueue<>();
    private final List<Socket> mSockets = new ArrayList<>();
    private DrainableServerChannel mServer;

    @BeforeEach
    void listen() {
        mServer =
                (DrainableServerChannel)
                        new ServerBootstrap()
                                .group(mGroup)
                                .channel(DrainableServerChannel.class)
                                .childHandler(new EchoInitializer())
                                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                                .syncUninterruptibly()
                                .channel();
    }

    @AfterEach
    void close() throws IOException {
        for (final Socket socket : mSockets) {
            socket.close();
        }
        mGroup.shutdownGracefully(0, WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends back what is received. */
    private static final class EchoInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(final SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(
                                        final ChannelHandlerContext context, final Object bytes) {
                                    context.writeAndFlush(bytes);
                                }
                            });
        }
    }

    private Socket connect() throws IOException {
        final Socket socket = new Socket();
        mSockets.add(socket);
        socket.connect(mServer.localAddress(), WAIT_MILLIS);
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    private void drainAndClose() {
        mGroup.next().execute(() -> mServer.drainAndClose(mDrained::add));
    }

    private Integer awaitClosed() throws InterruptedException {
        return mDrained.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against requests that are reset in the queue of the operating system. */
    @Test
    void servesTheConnectionsInTheQueue() throws Exception {
        final CountDownLatch draining = new CountDownLatch(1);
        final CountDownLatch connected = new CountDownLatch(1);
        mGroup.next()
                .execute(
                        () -> {
                            mServer.drainAndClose(mDrained::add);
                            draining.countDown();
                            awaitUninterruptibly(connected);
                        });
        draining.await();
        for (int i = 0; i < CONNECTIONS; i++) {
            connect().getOutputStream().write(i);
        }
        connected.countDown();
        for (int i = 0; i < CONNECTIONS; i++) {
            assertThat(mSockets.get(i).getInputStream().read()).isEqualTo(i);
        }
        assertThat(awaitClosed()).isEqualTo(CONNECTIONS);
    }

    private static void awaitUninterruptibly(final CountDownLatch latch) {
        try {
            latch.await(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Nested
    class AfterItsEnd {
        @Test
        void refusesConnections() throws Exception {
            drainAndClose();
            assertThat(awaitClosed()).isZero();
            assertThat(mServer.isOpen()).isFalse();
            assertThatThrownBy(DrainableServerChannelTest.this::connect)
                    .isInstanceOf(ConnectException.class);
        }

        @Test
        void keepsAcceptedConnections() throws Exception {
            final Socket socket = connect();
            socket.getOutputStream().write(1);
            assertThat(socket.getInputStream().read()).isEqualTo(1);
            drainAndClose();
            awaitClosed();
            socket.getOutputStream().write(2);
            assertThat(socket.getInputStream().read()).isEqualTo(2);
        }

        @Test
        void ignoresASecondCall() throws Exception {
            drainAndClose();
            drainAndClose();
            assertThat(awaitClosed()).isZero();
            mGroup.next().submit(() -> {}).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(mDrained).isEmpty();
        }
    }
}
