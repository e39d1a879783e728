package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerConnectionTest {
    private static final int WAIT_MILLIS = 5_000;
    private static final int MAXIMUM_BODY_BYTES = 10_000;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final BlockingQueue<CallerRequest> mRequests = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private InetSocketAddress mAddress;
    private Socket mSocket;

    @BeforeEach
    void connect() throws Exception {
        final SystemTimeSource time = new SystemTimeSource();
        final RelayServer server =
                new RelayServer(
                        new NativeDialect(),
                        time,
                        new EventLog("test", time, new PrintStream(mLog, true)),
                        () -> CallerLimits.STANDARD,
                        () -> 0,
                        MAXIMUM_BODY_BYTES);
        mAddress =
                server.bind(
                        mGroup,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new RecordingListener());
        mSocket = openSocket();
    }

    private Socket openSocket() throws Exception {
        final Socket socket = new Socket(mAddress.getAddress(), mAddress.getPort());
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    @AfterEach
    void close() throws Exception {
        mSocket.close();
        mGroup.shutdownGracefully(0, WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private final class RecordingListener implements CallerListener {
        @Override
        public void onRequest(final CallerRequest request) {
            mRequests.add(request);
        }

        @Override
        public void onCallerGone(final CallerRequest request) {}

        @Override
        public void onCallerWritable(final CallerRequest request, final boolean writable) {}
    }

    private CallerRequest receive(final String attempt) throws Exception {
        return receive(attempt, "");
    }

    private CallerRequest receive(final String attempt, final String headers) throws Exception {
        mSocket.getOutputStream()
                .write(
                        ("GET / HTTP/1.1\r\nHost: a\r\nPersimmonreel-Attempt: "
                                        + attempt
                                        + "\r\n"
                                        + headers
                                        + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return mRequests.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void runOnEventLoop(final Runnable task) throws Exception {
        mGroup.next().submit(task).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void respond(final CallerRequest request, final String body) throws Exception {
        runOnEventLoop(
                () ->
                        request.connection()
                                .respond(
                                        request,
                                        HttpResponseStatus.OK,
                                        new DefaultHttpHeaders(),
                                        Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII)));
    }

    private CallerRequest secondRequestAfterResponse() throws Exception {
        final CallerRequest first = receive("a1");
        respond(first, "one!");
        RelayFixture.readUntil(mSocket, "one!");
        final CallerRequest second = receive("a2");
        assertThat(second.connection()).isSameAs(first.connection());
        return second;
    }

    private CallerRequest earlier(final CallerRequest request) {
        return new CallerRequest(
                request.request(), request.callerHeaders(), request.connection(), 0);
    }

    /** Guards against an answer that goes to the next request on a kept connection. */
    @Nested
    class TheResponseToARequestThatEnded {
        @Test
        void isNotWritten() throws Exception {
            final CallerRequest second = secondRequestAfterResponse();
            respond(earlier(second), "wrong!");
            respond(second, "two!");
            assertThat(RelayFixture.readUntil(mSocket, "two!")).doesNotContain("wrong!");
            RelayFixture.await(() -> mLog.toString().contains("\"event\":\"stray-response\""));
        }

        @Test
        void isNotStreamed() throws Exception {
            final CallerRequest second = secondRequestAfterResponse();
            final CallerRequest ended = earlier(second);
            runOnEventLoop(
                    () -> {
                        final CallerConnection connection = ended.connection();
                        connection.startStream(
                                ended, HttpResponseStatus.OK, new DefaultHttpHeaders());
                        connection.stream(ended, Unpooled.copiedBuffer(new byte[1]));
                        connection.endStream(ended);
                    });
            respond(second, "two!");
            assertThat(RelayFixture.readUntil(mSocket, "two!")).doesNotContain("chunked");
        }

        @Test
        void doesNotEndTheConnectionOfTheNextRequest() throws Exception {
            final CallerRequest second = secondRequestAfterResponse();
            final CallerRequest ended = earlier(second);
            runOnEventLoop(() -> ended.connection().abort(ended));
            respond(second, "two!");
            assertThat(RelayFixture.readUntil(mSocket, "two!")).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against uploads that together exhaust the memory before one is complete. */
    @Nested
    class BodiesThatAreNotComplete {
        private static final int PART_BYTES = 6_000;

        private void sendPart(final Socket socket) throws Exception {
            final String head =
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + 2 * PART_BYTES + "\r\n\r\n";
            socket.getOutputStream()
                    .write((head + "x".repeat(PART_BYTES)).getBytes(StandardCharsets.US_ASCII));
        }

        @Test
        void countTowardsTheMemoryOfAllBodies() throws Exception {
            try (Socket other = openSocket()) {
                sendPart(mSocket);
                // The server handles the parts in the order in which they arrive.
                TimeUnit.MILLISECONDS.sleep(100);
                sendPart(other);
                assertThat(RelayFixture.readUntil(other, "\r\n")).contains("503");
            }
            assertThat(mRequests).isEmpty();
        }

        @Test
        void areNotCountedAnyMoreWhenTheirCallerIsGone() throws Exception {
            for (int i = 0; i < 3; i++) {
                try (Socket other = openSocket()) {
                    sendPart(other);
                    TimeUnit.MILLISECONDS.sleep(100);
                }
            }
            TimeUnit.MILLISECONDS.sleep(100);
            sendPart(mSocket);
            mSocket.setSoTimeout(100);
            assertThatThrownBy(() -> RelayFixture.readUntil(mSocket, "\r\n"))
                    .isInstanceOf(SocketTimeoutException.class);
        }
    }

    /** Guards against a response whose end is queued and dropped with an idle connection. */
    @Nested
    class AResponseThatIsNotSentYet {
        /** More than the socket buffers hold. */
        private static final int LONG_BYTES = 32 << 20;

        private void assertKeeps(final Consumer<CallerConnection> check) throws Exception {
            assertKeeps("", check);
        }

        private void assertKeeps(final String headers, final Consumer<CallerConnection> check)
                throws Exception {
            final CallerRequest request = receive("a1", headers);
            respond(request, "x".repeat(LONG_BYTES) + "end");
            runOnEventLoop(() -> check.accept(request.connection()));
            assertThat(mSocket.getInputStream().readNBytes(LONG_BYTES)).hasSize(LONG_BYTES);
            assertThat(RelayFixture.readUntil(mSocket, "end")).endsWith("xend");
        }

        @Test
        void isNotCutOffByAPlannedStop() throws Exception {
            assertKeeps(CallerConnection::closeIfIdle);
        }

        @Test
        void isNotCutOffByAPlannedStopIfItEndsTheConnection() throws Exception {
            assertKeeps("Connection: close\r\n", CallerConnection::closeIfIdle);
        }

        @Test
        void isNotCutOffByTheIdleTimeout() throws Exception {
            final long later = System.nanoTime() + TimeUnit.MINUTES.toNanos(10);
            assertKeeps(connection -> connection.closeIfTimedOut(CallerLimits.STANDARD, later));
        }

        /** A caller that reads nothing for so long doesn't keep its connection. */
        @Test
        void endsWithTheIdleTimeoutIfTheCallerStopsReading() throws Exception {
            final CallerRequest request = receive("a1");
            respond(request, "x".repeat(LONG_BYTES));
            final long once = System.nanoTime() + TimeUnit.MINUTES.toNanos(10);
            final long twice = once + TimeUnit.MINUTES.toNanos(10);
            runOnEventLoop(
                    () -> {
                        request.connection().closeIfTimedOut(CallerLimits.STANDARD, once);
                        request.connection().closeIfTimedOut(CallerLimits.STANDARD, twice);
                    });
            assertThat(mSocket.getInputStream().readAllBytes().length).isLessThan(LONG_BYTES);
        }
    }
}
