package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.scriptAll;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers what follows after the head of a response was passed on to the caller. */
class RelayCallStartedResponseTest {
    private static final String END = "0\r\n\r\n";

    /** More than the relay buffers of a response before it streams it. */
    private static final String LONG_TEXT = "x".repeat(400_000);

    private static final String EVENTS = event(1) + event(2);
    private static final long READ_PAUSE_MILLIS = 100;
    private static final String SECOND_RESPONSE =
            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nContent-Length: 2\r\n\r\nhi";

    /** A response that the relay passes on while it arrives. */
    private record Kind(String path, String type, String body) {
        @Override
        public String toString() {
            return path + " " + type;
        }
    }

    /** Frames the part of a body that arrives before the failure. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        NONE;

        private String fields(final int bodyBytes) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + bodyBytes + "\r\n";
                case CHUNKS -> "Transfer-Encoding: chunked\r\n";
                case NONE -> "";
            };
        }

        private String body(final String text) {
            return this == CHUNKS
                    ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"
                    : text;
        }
    }

    /** What a replica does after the first part of its response. */
    private record Failure(String name, Script script) {
        @Override
        public String toString() {
            return name;
        }
    }

    private record Row(Kind kind, Framing framing, Failure failure) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind("/notes/1", "text/event-stream", EVENTS),
                    new Kind("/draft/1", "text/event-stream", EVENTS),
                    new Kind("/charge/1", "text/plain", LONG_TEXT),
                    new Kind("/lookup/1", "text/plain", LONG_TEXT),
                    new Kind("/notes/1", "text/plain", LONG_TEXT),
                    new Kind("/draft/1", "text/plain", LONG_TEXT));

    private static void reset(final Exchange exchange) throws IOException {
        exchange.socket().setSoLinger(true, 0);
        exchange.socket().close();
    }

    private static void start(
            final Exchange exchange, final Kind kind, final Framing framing, final int bodyBytes)
            throws Exception {
        exchange.write(
                "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nContent-Type: "
                        + kind.type()
                        + "\r\n"
                        + framing.fields(bodyBytes)
                        + "\r\n"
                        + framing.body(kind.body()));
        // The relay reads what was sent before a reset can discard it.
        Thread.sleep(READ_PAUSE_MILLIS);
    }

    private static String request(final String path, final Script first, final Script later)
            throws Exception {
        try (RelayFixture relay = new RelayFixture(2)) {
            scriptAll(relay, 2, first, later);
            return relay.request("POST", path, ATTEMPT_HEADER, "body");
        }
    }

    /** Covers failures of the replica, after which no other replica responds. */
    @Nested
    class WhoseReplicaFails {
        static Stream<Row> failures() {
            final Failure close = new Failure("end", e -> e.socket().close());
            final Failure reset = new Failure("reset", RelayCallStartedResponseTest::reset);
            final Failure second =
                    new Failure(
                            "second response",
                            e -> {
                                e.write(SECOND_RESPONSE);
                                Thread.sleep(READ_PAUSE_MILLIS);
                                e.socket().close();
                            });
            final Failure garbage =
                    new Failure(
                            "garbage",
                            e -> {
                                e.write("garbage\r\n\r\n");
                                Thread.sleep(READ_PAUSE_MILLIS);
                                e.socket().close();
                            });
            final List<Row> rows = new ArrayList<>();
            for (final Kind kind : KINDS) {
                for (final Failure failure : List.of(close, reset, second, garbage)) {
                    rows.add(new Row(kind, Framing.CHUNKS, failure));
                }
                rows.add(new Row(kind, Framing.LENGTH, close));
                rows.add(new Row(kind, Framing.LENGTH, reset));
                rows.add(new Row(kind, Framing.NONE, reset));
            }
            return rows.stream();
        }

        @ParameterizedTest
        @MethodSource("failures")
        void neverLooksComplete(final Row row) throws Exception {
            final Kind kind = row.kind();
            final Script script =
                    e -> {
                        start(e, kind, row.framing(), 2 * kind.body().length());
                        row.failure().script().answer(e);
                    };
            final String response = request(kind.path(), script, script);
            assertThat(response).startsWith("HTTP/1.1 200").doesNotEndWith(END);
            assertThat(response.indexOf("HTTP/1.1", 1)).isNegative();
        }
    }

    /** Covers responses that were complete before more bytes came. */
    @Nested
    class ThatIsFollowedByMoreBytes {
        static Stream<Row> rows() {
            final List<Row> rows = new ArrayList<>();
            for (final Kind kind : KINDS) {
                for (final Framing framing : List.of(Framing.LENGTH, Framing.CHUNKS)) {
                    rows.add(new Row(kind, framing, extra("second response", SECOND_RESPONSE)));
                    rows.add(new Row(kind, framing, extra("garbage", "garbage\r\n\r\n")));
                    rows.add(new Row(kind, framing, extra("two bytes", "hi")));
                }
            }
            return rows.stream();
        }

        private static Failure extra(final String name, final String bytes) {
            return new Failure(name, e -> e.write(bytes));
        }

        @ParameterizedTest
        @MethodSource("rows")
        void isCompleteWithoutThem(final Row row) throws Exception {
            final Kind kind = row.kind();
            final Script script =
                    e -> {
                        start(e, kind, row.framing(), kind.body().length());
                        if (row.framing() == Framing.CHUNKS) {
                            e.write(END);
                        }
                        row.failure().script().answer(e);
                    };
            final String response = request(kind.path(), script, script);
            assertThat(response).startsWith("HTTP/1.1 200").endsWith(END);
            assertThat(response).doesNotContain("hi", "garbage");
            assertThat(response.indexOf("HTTP/1.1", 1)).isNegative();
        }
    }

    /** Covers a second replica that responds to a request whose first response was cut off. */
    @Nested
    class AfterWhichAnotherReplicaResponds {
        private static final Kind TEXT = new Kind("/draft/1", "text/plain", LONG_TEXT);

        private static String cutOff(final Kind kind, final Script later) throws Exception {
            return request(
                    kind.path(),
                    e -> {
                        start(e, kind, Framing.CHUNKS, 0);
                        e.socket().close();
                    },
                    later);
        }

        /**
         * Checks that a response is the first one without its end. A busy relay may abandon the
         * first replica before its head has arrived, and then returns the second response alone.
         */
        private static void assertNotContinued(final String response, final String second) {
            if (response.contains("xxxx")) {
                assertThat(response).startsWith("HTTP/1.1 200").doesNotEndWith(END);
                assertThat(response.contains(second)).isFalse();
            } else {
                assertThat(response).startsWith("HTTP/1.1 200").contains(second);
            }
        }

        /** Guards against a text that is continued with the events of another response. */
        @Test
        void isNotContinuedWithEvents() throws Exception {
            final String type = "Content-Type: text/event-stream\r\n";
            assertNotContinued(cutOff(TEXT, e -> respond(e, 200, type, event(1))), "data: e1");
        }

        @Test
        void isNotContinuedWithAnotherText() throws Exception {
            assertNotContinued(cutOff(TEXT, e -> respond(e, 200, "other")), "other");
        }

        @Test
        void isNotRepeatedOnAnIdempotentRoute() throws Exception {
            final Kind text = new Kind("/lookup/1", "text/plain", LONG_TEXT);
            assertNotContinued(cutOff(text, e -> respond(e, 200, "other")), "other");
        }
    }

    /** Covers failures that are too long to buffer. */
    @Nested
    class OfAFailure {
        /** Guards against a promise that the request did not run. */
        @Test
        void promisesNothing() throws Exception {
            final String response =
                    request(
                            "/charge/1",
                            e -> respond(e, 503, LONG_TEXT),
                            e -> respond(e, 503, LONG_TEXT));
            assertThat(response).startsWith("HTTP/1.1 502");
        }

        @Test
        void keepsItsStatus() throws Exception {
            final String response =
                    request(
                            "/charge/1",
                            e -> respond(e, 500, LONG_TEXT),
                            RelayCallStartedResponseTest::reset);
            assertThat(response).startsWith("HTTP/1.1 500");
        }

        /** Guards against a promise that the request did not run. */
        @ParameterizedTest
        @ValueSource(ints = {408, 429, 503})
        void promisesNothingIfItIsShort(final int status) throws Exception {
            final Script script = e -> respond(e, status, "busy");
            assertThat(request("/charge/1", script, script)).startsWith("HTTP/1.1 502");
        }
    }
}
