package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.startStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Replicas send bytes without end, until the relay closes the connection. */
class EndlessResponseTest {
    /** More than the relay reads of bytes that are no response, plus what sockets buffer. */
    private static final long ENOUGH_BYTES = 64L << 20;

    private static final String OK =
            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nX-Sign: s\r\n";
    private static final String FOREIGN =
            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: other\r\nContent-Length: 5\r\n\r\nwrong";
    private static final int WAIT_SECONDS = 20;

    /** Sends a prefix and then a part again and again; the result is whether the relay closed. */
    private static boolean sendWithoutEnd(
            final Exchange exchange, final String prefix, final String part) throws IOException {
        final String block = part.repeat(Math.max(1, 8_192 / part.length()));
        exchange.write(prefix);
        try {
            for (long sent = 0; sent < ENOUGH_BYTES; sent += block.length()) {
                exchange.write(block);
            }
            return false;
        } catch (final IOException e) {
            return true;
        }
    }

    private static String response(final String path, final String prefix, final String part)
            throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            final CompletableFuture<Boolean> closed = new CompletableFuture<>();
            relay.replica(0).addScript(e -> closed.complete(sendWithoutEnd(e, prefix, part)));
            final String response = relay.request("POST", path, ATTEMPT_HEADER, "x");
            assertThat(closed.get(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            return response;
        }
    }

    private static void assertFails(final String prefix, final String part) throws Exception {
        assertThat(response("/charge/1", prefix, part)).startsWith("HTTP/1.1 502");
    }

    @Nested
    class InTheHead {
        @Test
        void aLineHasABound() throws Exception {
            assertFails("", "x");
        }

        @Test
        void headerFieldsHaveABound() throws Exception {
            assertFails(OK, "X-More: y\r\n");
        }

        @Test
        void aHeaderFieldHasABound() throws Exception {
            assertFails(OK + "X-More: ", "y");
        }

        @Test
        void interimResponsesHaveABound() throws Exception {
            assertFails("", "HTTP/1.1 100 Continue\r\n\r\n");
        }

        @Test
        void responsesToOtherAttemptsHaveABound() throws Exception {
            assertFails("", FOREIGN);
        }
    }

    @Nested
    class InTheBody {
        @Test
        void aResponseToAnotherAttemptHasABound() throws Exception {
            assertFails(
                    "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: other\r\n"
                            + "Content-Length: 1000000000\r\n\r\n",
                    "x");
        }

        @Test
        void aChunkSizeHasABound() throws Exception {
            assertFails(OK + "Transfer-Encoding: chunked\r\n\r\n", "0");
        }

        @Test
        void trailersHaveABound() throws Exception {
            assertFails(OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: y\r\n");
        }

        /** What follows the stated length belongs to no request. */
        @Test
        void bytesAfterTheStatedLengthAreNotForwarded() throws Exception {
            assertThat(response("/charge/1", OK + "Content-Length: 4\r\n\r\nwhole", "x"))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("\r\n\r\nwhol");
        }
    }

    /** Guards against a refused request whose connection is read for as long as bytes come. */
    @Nested
    class InTheBodyOfARefusal {
        private static final String REFUSAL =
                "HTTP/1.1 503 Full\r\nPersimmonreel-Attempt: a1\r\nPersimmonreel-Not-Run: 1\r\n"
                        + "Content-Length: 1000000000\r\n\r\n";

        @Test
        void bytesHaveABound() throws Exception {
            assertThat(response("/charge/1", REFUSAL, "x")).startsWith("HTTP/1.1 503");
        }

        @Test
        void timeHasABound() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                final CompletableFuture<Boolean> closed = new CompletableFuture<>();
                relay.replica(0)
                        .addScript(
                                e -> {
                                    e.write(REFUSAL);
                                    e.awaitClose();
                                    closed.complete(true);
                                });
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 503");
                assertThat(closed.get(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            }
        }
    }

    @Nested
    class InAStream {
        @Test
        void anEventHasABound() throws Exception {
            final String start =
                    OK
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n";
            assertFailsBeforeTheFirstEvent(start, "4\r\nxxxx\r\n");
        }

        private void assertFailsBeforeTheFirstEvent(final String start, final String part)
                throws Exception {
            assertThat(response("/notes/1", start, part)).startsWith("HTTP/1.1 502");
        }

        /**
         * A replica that only keeps the connection open has stalled: the stream goes on at another
         * replica.
         */
        @Test
        void commentsAndEmptyLinesAreNoProgress() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                ReplicaScripts.scriptAll(
                        relay,
                        2,
                        e -> {
                            startStream(e);
                            writeChunk(e, ReplicaScripts.event(1));
                            trickleUntilClosed(e);
                        },
                        e -> {
                            startStream(e);
                            writeChunk(e, ReplicaScripts.event(2));
                            ReplicaScripts.endStream(e);
                        });
                assertThat(relay.request("POST", "/draft/1", ATTEMPT_HEADER, "x"))
                        .contains("data: e1", "data: e2");
                RelayFixture.await(() -> relay.log().contains("\"kind\":\"stalled\""));
            }
        }

        private void trickleUntilClosed(final Exchange exchange) throws Exception {
            for (int i = 0; i < 200; i++) {
                writeChunk(exchange, i % 2 == 0 ? "\n" : ": alive\n\n");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }
}
