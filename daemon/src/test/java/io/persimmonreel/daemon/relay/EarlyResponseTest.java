package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayUpstream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers responses without a length that begin before the replica has read the request. */
class EarlyResponseTest {
    /** More than the socket buffers between relay and replica hold. */
    private static final int REQUEST_BYTES = 16 << 20;

    /** More than the relay buffers of a response before it streams it. */
    private static final int LONG_RESPONSE_BYTES = 400_000;

    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    private static final long READ_PAUSE_MILLIS = 200;
    private static final long RESET_DELAY_MILLIS = 20;
    private static final String END = "0\r\n\r\n";
    private static final String TEXT = "Content-Type: text/plain\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\n";

    /** Ends the connection of a replica after its response. */
    @FunctionalInterface
    private interface Ending {
        void end(Socket socket) throws IOException;
    }

    private static void reset(final Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Ends the output, and resets the connection before the request is written. */
    private static void endOutputAndReset(final Socket socket) throws IOException {
        socket.shutdownOutput();
        try {
            TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MILLIS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        reset(socket);
    }

    private static void readRequestAndClose(final Socket socket) throws IOException {
        socket.shutdownOutput();
        socket.getInputStream().skipNBytes(REQUEST_BYTES);
        socket.close();
    }

    /** A replica that responds once it has read the head of the request. */
    private static final class EarlyReplica implements AutoCloseable {
        private final ServerSocket mServer = new ServerSocket();

        EarlyReplica(final String headers, final String body, final Ending ending)
                throws IOException {
            mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            final Thread thread = new Thread(() -> serve(headers, body, ending), "early-replica");
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return mServer.getLocalPort();
        }

        private void serve(final String headers, final String body, final Ending ending) {
            try (Socket socket = mServer.accept()) {
                skipHead(socket.getInputStream());
                final String response =
                        "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                                + headers
                                + "\r\n"
                                + body;
                socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                // The relay reads what was sent before the reset can discard it.
                TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MILLIS);
                ending.end(socket);
            } catch (final IOException | InterruptedException e) {
                // The test has ended.
                return;
            }
        }

        private static void skipHead(final InputStream in) throws IOException {
            final String end = "\r\n\r\n";
            int matched = 0;
            while (matched < end.length()) {
                matched = in.read() == end.charAt(matched) ? matched + 1 : 0;
            }
        }

        @Override
        public void close() throws IOException {
            mServer.close();
        }
    }

    private static RelayConfiguration largeBodies() {
        final RelayConfiguration standard = RelayFixture.configuration(1, 2, 0);
        return new RelayConfiguration(
                standard.version(),
                standard.routes(),
                List.of(new RelayUpstream("app", Optional.empty())),
                new CallerLimits(4_096, REQUEST_BYTES, 1_000, 2_000),
                standard.customers());
    }

    private static String request(
            final String path, final String headers, final String body, final Ending ending)
            throws Exception {
        try (EarlyReplica replica = new EarlyReplica(headers, body, ending);
                RelayFixture relay = new RelayFixture(0, Duration.ofSeconds(8), largeBodies())) {
            relay.addReplica("r0", replica.port());
            return relay.request("POST", path, ATTEMPT_HEADER, "x".repeat(REQUEST_BYTES));
        }
    }

    /** Guards against a reset that is met in a write of the request and taken for the end. */
    @Nested
    class ThatIsResetWhileTheRequestIsSent {
        @Test
        void isNoWholeResponse() throws Exception {
            assertThat(request("/charge/1", TEXT, "half", EarlyResponseTest::reset))
                    .startsWith("HTTP/1.1 502")
                    .doesNotContain("half");
        }

        @Test
        void isNoWholeResponseIfItIsStreamedToTheCaller() throws Exception {
            final String body = "x".repeat(LONG_RESPONSE_BYTES);
            assertThat(request("/charge/1", TEXT, body, EarlyResponseTest::reset))
                    .startsWith("HTTP/1.1 200")
                    .doesNotEndWith(END);
        }

        @Test
        void isNoWholeEventStream() throws Exception {
            assertThat(request("/notes/1", EVENTS, event(1), EarlyResponseTest::reset))
                    .contains("data: e1")
                    .doesNotEndWith(END);
        }
    }

    /** Guards against a part of a response that is taken for the whole before the reset arrives. */
    @Nested
    class ThatEndsInOrderBeforeTheReset {
        @Test
        void isNoWholeResponse() throws Exception {
            assertThat(request("/charge/1", TEXT, "half", EarlyResponseTest::endOutputAndReset))
                    .startsWith("HTTP/1.1 502")
                    .doesNotContain("half");
        }

        @Test
        void isNoWholeEventStream() throws Exception {
            assertThat(request("/notes/1", EVENTS, event(1), EarlyResponseTest::endOutputAndReset))
                    .contains("data: e1")
                    .doesNotEndWith(END);
        }
    }

    @Nested
    class ThatEndsInOrder {
        @Test
        void isForwardedWhole() throws Exception {
            assertThat(request("/charge/1", TEXT, "whole", EarlyResponseTest::readRequestAndClose))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("whole");
        }
    }
}
