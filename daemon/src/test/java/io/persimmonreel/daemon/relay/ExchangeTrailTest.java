package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.endStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.startStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against log lines from which the cause of a wrong response can't be told. */
class ExchangeTrailTest {
    private static final int LONG_BODY_BYTES = 600_000;
    private static final long SECOND_RESPONSE_MILLIS = 50;

    private static String line(final RelayFixture relay, final String event) throws Exception {
        final String part = "\"event\":\"" + event + "\"";
        RelayFixture.await(() -> relay.log().contains(part));
        return relay.log().lines().filter(line -> line.contains(part)).findFirst().orElseThrow();
    }

    /** Sends a request and returns the line on its response, after which there is no mismatch. */
    private static String answered(final String path, final Script script) throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0).addScript(script);
            assertThat(relay.request("POST", path, ATTEMPT_HEADER, "x")).contains(" 200 ");
            final String answered = line(relay, "answered");
            assertThat(relay.log()).doesNotContain("mismatch");
            return answered;
        }
    }

    @Nested
    class AResponse {
        @Test
        void isLoggedWithItsConnectionStatusAndFraming() throws Exception {
            assertThat(answered("/charge/1", exchange -> respond(exchange, 200, "done")))
                    .contains(
                            "\"connection\":1,\"exchange\":1,\"exchange_end\":\"complete\","
                                    + "\"replica_status\":200,\"framing\":\"length\","
                                    + "\"received_bytes\":4,\"forwarded_whole\":true");
        }

        @Test
        void isLoggedAsNotWholeIfItIsForwardedWhileItArrives() throws Exception {
            assertThat(
                            answered(
                                    "/charge/1",
                                    exchange ->
                                            respond(exchange, 200, "x".repeat(LONG_BODY_BYTES))))
                    .contains(
                            "\"received_bytes\":" + LONG_BODY_BYTES + ",\"forwarded_whole\":false");
        }

        @Test
        void isLoggedAsEndedByTheEndOfInput() throws Exception {
            assertThat(
                            answered(
                                    "/charge/1",
                                    exchange -> {
                                        exchange.write(
                                                "HTTP/1.1 200 OK\r\n" + ATTEMPT_HEADER + "\r\nok");
                                        exchange.socket().close();
                                    }))
                    .contains(
                            "\"exchange_end\":\"end-of-input\"",
                            "\"framing\":\"connection-end\",\"received_bytes\":2");
        }

        @Test
        void isLoggedAsInChunksIfItIsAStream() throws Exception {
            assertThat(
                            answered(
                                    "/notes/1",
                                    exchange -> {
                                        startStream(exchange);
                                        writeChunk(exchange, event(1));
                                        endStream(exchange);
                                    }))
                    .contains("\"framing\":\"chunked\"", "\"forwarded_whole\":false");
        }

        @Test
        void isLoggedWithTheNumbersOfAConnectionThatIsUsedAgain() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                final Script script = exchange -> respond(exchange, 200, "done");
                relay.replica(0).addScript(script).addScript(script);
                relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "");
                relay.request("GET", "/lookup/2", "Persimmonreel-Attempt: a2\r\n", "");
                final String written =
                        "\"event\":\"written\",\"id\":\"a2\",\"replica\":\"r0\","
                                + "\"connection\":1,\"exchange\":2";
                RelayFixture.await(() -> relay.log().contains(written));
            }
        }

        @Test
        void isLoggedIfItIsAnErrorThatIsPassedOn() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0).addScript(exchange -> respond(exchange, 500, "error"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 500");
                assertThat(line(relay, "error-forwarded"))
                        .contains("\"status\":500", "\"replica_status\":500");
                assertThat(relay.log()).doesNotContain("mismatch");
            }
        }
    }

    @Test
    void aResumedStreamIsNoMismatch() throws Exception {
        try (RelayFixture relay = new RelayFixture(2)) {
            ReplicaScripts.scriptAll(
                    relay,
                    2,
                    exchange -> {
                        startStream(exchange);
                        writeChunk(exchange, event(1));
                        exchange.socket().close();
                    },
                    exchange -> {
                        startStream(exchange);
                        writeChunk(exchange, event(1) + event(2));
                        endStream(exchange);
                    });
            assertThat(relay.request("POST", "/draft/1", ATTEMPT_HEADER, "x"))
                    .contains(event(1))
                    .contains(event(2));
            assertThat(line(relay, "resent"))
                    .contains("\"kind\":\"resume\"", "\"exchange_end\":\"end-of-input\"");
            line(relay, "answered");
            assertThat(relay.log()).doesNotContain("mismatch");
        }
    }

    @Test
    void aSecondResponseOnAnIdleConnectionIsLogged() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0)
                    .addScript(
                            exchange -> {
                                respond(exchange, 200, "done");
                                Thread.sleep(SECOND_RESPONSE_MILLIS);
                                respond(exchange, 500, "again");
                            });
            assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                    .startsWith("HTTP/1.1 200");
            assertThat(line(relay, "unrequested-response"))
                    .contains(
                            "\"kind\":\"idle\",\"replica\":\"r0\",\"connection\":1,"
                                    + "\"exchanges\":1,\"response_id\":\"a1\",\"status\":500,"
                                    + "\"framing\":\"length\",\"declared_bytes\":5,"
                                    + "\"of_previous\":true");
        }
    }
}
