package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a connection to a replica that is kept although it is not read. */
class UnreadConnectionTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n";

    private final VirtualEventLoop mLoop = new VirtualEventLoop();
    private VirtualChannel mChannel;
    private UpstreamConnection mConnection;

    /** Lets a caller stop reading when the response begins. */
    private class SlowCaller implements ExchangeListener {
        @Override
        public void onWritten() {}

        @Override
        public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {
            mConnection.setReading(false);
        }

        @Override
        public void onBody(final ByteBuf bytes) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailed(final String reason) {}
    }

    private void send(final ExchangeListener listener) {
        final UpstreamConnectionPool pool =
                new UpstreamConnectionPool(
                        (address, initializer, onOutcome) -> {
                            mChannel =
                                    new VirtualChannel(
                                            mLoop, UnpooledByteBufAllocator.DEFAULT, initializer);
                            mLoop.execute(() -> onOutcome.accept(null));
                        },
                        new NativeDialect(),
                        new VirtualTimers());
        final Replica replica =
                new Replica(new ReplicaEntry("r", "app", "127.0.0.1", 1, "zone", 4, false, 1));
        pool.acquire(replica, "a1", false, (connection, failure) -> mConnection = connection);
        mLoop.runTasks();
        mConnection.send(
                "a1",
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                listener);
    }

    private void receive(final String text) {
        mChannel.receive(text.getBytes(StandardCharsets.UTF_8));
        mLoop.runTasks();
    }

    @Nested
    class AfterTheCallerStoppedReading {
        @Test
        void isReadAgainOnceTheResponseHasEnded() {
            send(new SlowCaller());
            receive(HEAD + "Content-Length: 2\r\n\r\nok");
            assertThat(mConnection.isIdle()).isTrue();
            assertThat(mChannel.isReading()).isTrue();
        }

        @Test
        void isReadAgainWhileTheRestIsIgnored() {
            send(
                    new SlowCaller() {
                        @Override
                        public void onHeaders(
                                final HttpResponse response, final ReplicaHeaders headers) {
                            super.onHeaders(response, headers);
                            mConnection.ignoreRest();
                        }
                    });
            receive(HEAD + "Content-Length: 2\r\n\r\n");
            assertThat(mConnection.isIgnoring()).isTrue();
            assertThat(mChannel.isReading()).isTrue();
        }
    }
}
