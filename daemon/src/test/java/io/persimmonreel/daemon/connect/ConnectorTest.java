package io.persimmonreel.daemon.connect;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectorTest {
    private static final int WAIT_SECONDS = 10;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final Connector mConnector = new Connector(mLoop);
    private final BlockingQueue<Outcome> mOutcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** An outcome and whether it was reported on the event loop. */
    private record Outcome(Throwable failure, boolean onLoop) {}

    /** Connects and closes the channel when the outcome is known, as callers do. */
    private Outcome connect(final Bootstrap bootstrap, final InetSocketAddress address)
            throws InterruptedException {
        mLoop.execute(
                () -> {
                    final Channel[] channel = new Channel[1];
                    channel[0] =
                            mConnector.connect(
                                    bootstrap,
                                    address,
                                    failure -> {
                                        Connector.close(channel[0]);
                                        mOutcomes.add(new Outcome(failure, mLoop.inEventLoop()));
                                    });
                });
        return mOutcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static Bootstrap bootstrap() {
        return new Bootstrap().handler(new ChannelInboundHandlerAdapter());
    }

    @Nested
    class Outcomes {
        /** Guards against a call that never ends because no descriptor was left for a moment. */
        @Test
        void isReportedOnTheEventLoopIfNoSocketCanBeOpened() throws Exception {
            final Bootstrap noDescriptors =
                    bootstrap()
                            .channelFactory(
                                    () -> {
                                        throw new ChannelException("Too many open files");
                                    });
            final Outcome outcome =
                    connect(
                            noDescriptors,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
            assertThat(outcome).isNotNull();
            assertThat(outcome.onLoop()).isTrue();
            assertThat(outcome.failure()).hasMessageContaining("Too many open files");
        }

        @Test
        void isReportedIfTheConnectionIsOpen() throws Exception {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                final Outcome outcome =
                        connect(
                                bootstrap().channel(NioSocketChannel.class),
                                (InetSocketAddress) server.getLocalSocketAddress());
                assertThat(outcome).isEqualTo(new Outcome(null, true));
            }
        }
    }

    @Nested
    class Limits {
        @Test
        void areReadFromTheLinesOfTheProcess() {
            final String line =
                    "Max open files            4200                 1048576        files";
            assertThat(DescriptorLimit.parse(List.of("Max cpu time  unlimited", line)))
                    .isEqualTo(OptionalInt.of(4_200));
            assertThat(DescriptorLimit.parse(List.of("Max open files  unlimited  unlimited files")))
                    .isEmpty();
            assertThat(DescriptorLimit.parse(List.of())).isEmpty();
        }
    }
}
