package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.endStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static io.persimmonreel.daemon.relay.ReplicaScripts.scriptAll;
import static io.persimmonreel.daemon.relay.ReplicaScripts.startStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayDaemonTest {
    /** Names another attempt, since no connection is used for an attempt twice. */
    private static final String NEXT_ATTEMPT_HEADER = "Persimmonreel-Attempt: a2\r\n";

    /**
     * The caller gets the replica's response unchanged, and the replica does not get the caller's
     * key.
     */
    @Test
    void returnsTheResponseUnchanged() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0).addScript(e -> respond(e, 201, "X-Sign: s\r\n", "hello"));
            final String response = relay.request("POST", "/charge/7?x=1", ATTEMPT_HEADER, "body");
            assertThat(response).startsWith("HTTP/1.1 201").contains("X-Sign: s").endsWith("hello");
            final String head = relay.replica(0).requestHeads().get(0);
            assertThat(head)
                    .startsWith("POST /charge/7?x=1 HTTP/1.1")
                    .contains("Persimmonreel-Customer: acme", "Persimmonreel-Replica: r0")
                    .doesNotContain(RelayFixture.KEY);
        }
    }

    /**
     * A late response to another attempt may precede the response to this one and must not be
     * returned.
     */
    @Test
    void skipsAResponseToAnotherAttempt() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0)
                    .addScript(
                            e -> {
                                e.write(
                                        "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: other\r\n"
                                                + "Content-Length: 5\r\n\r\nwrong");
                                respond(e, 200, "right");
                            });
            assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).endsWith("right");
        }
    }

    /**
     * A refusal without an attempt id may be a late copy of an earlier one, so on a connection in
     * use again it does not prove that the request did not run.
     */
    @Test
    void doesNotTakeARefusalOfUnknownOriginForAProof() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0)
                    .addScript(e -> respond(e, 200, "first"))
                    .addScript(
                            e ->
                                    e.write(
                                            "HTTP/1.1 503 x\r\nPersimmonreel-Not-Run: 1\r\n"
                                                    + "Content-Length: 0\r\n\r\n"));
            assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).endsWith("first");
            assertThat(relay.request("GET", "/lookup/2", NEXT_ATTEMPT_HEADER, ""))
                    .startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void logsNoTimeOfTheFirstEventOfAResponseWithoutEvents() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0).addScript(e -> respond(e, 200, "whole"));
            assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x")).endsWith("whole");
            RelayFixture.await(() -> relay.log().contains("\"event\":\"answered\""));
            assertThat(relay.log()).contains("\"events\":0").doesNotContain("\"first_ms\":-");
        }
    }

    @Test
    void logsHowCurrentTheConfigurationOfARefusalIs() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            assertThat(relay.request("GET", "/unknown/1", ATTEMPT_HEADER, ""))
                    .startsWith("HTTP/1.1 404");
            RelayFixture.await(() -> relay.log().contains("no route matches"));
            assertThat(relay.log())
                    .containsPattern(
                            "\"version\":1,\"version_age_ms\":\\d+,"
                                    + "\"directory_silent_ms\":\\d+,\"peer_version\":0");
        }
    }

    /** Bytes after a complete response must not be taken for the next response. */
    @Test
    void closesAConnectionWithExtraBytes() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0)
                    .addScript(
                            e -> {
                                respond(e, 200, "first");
                                e.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
                            })
                    .addScript(e -> respond(e, 200, "second"));
            assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).endsWith("first");
            RelayFixture.await(() -> relay.log().contains("\"event\":\"unrequested-response\""));
            assertThat(relay.request("GET", "/lookup/2", NEXT_ATTEMPT_HEADER, ""))
                    .endsWith("second");
        }
    }

    /** A response to HEAD declares the length of a body that does not follow. */
    @Test
    void endsResponsesToHeadAfterTheHeaders() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0)
                    .addScript(
                            e ->
                                    e.write(
                                            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                                                    + "Content-Length: 10\r\n\r\n"));
            assertThat(relay.request("HEAD", "/lookup/1", ATTEMPT_HEADER, ""))
                    .startsWith("HTTP/1.1 200")
                    .containsIgnoringCase("content-length: 10")
                    .endsWith("\r\n\r\n");
        }
    }

    @Nested
    class AtMostOnce {
        /** The request may have run before the connection broke. */
        @Test
        void isNotResentAfterABrokenConnection() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(relay, 2, e -> e.socket().close());
                scriptAll(relay, 2, e -> respond(e, 200, "again"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
                assertThat(runCount(relay, 2)).isEqualTo(1);
            }
        }

        /** A request that the replica states it did not run may be sent to another replica. */
        @Test
        void isResentIfItDidNotRun() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(
                        relay,
                        2,
                        e -> respond(e, 503, "Persimmonreel-Not-Run: 1\r\n", ""),
                        e -> respond(e, 200, "ran"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x")).endsWith("ran");
            }
        }

        /**
         * Callers take 503 to mean that the request did not run, so a replica's 503 without that
         * statement becomes 502.
         */
        @Test
        void replacesA503WithoutNotRunStatement() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0).addScript(e -> respond(e, 503, "maybe"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
            }
        }

        /** A response that is cut off must not look complete. */
        @Test
        void failsIfTheResponseIsCutOff() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0)
                        .addScript(
                                e -> {
                                    e.write(
                                            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                                                    + "Content-Length: 10\r\n\r\nhalf");
                                    e.socket().close();
                                });
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
            }
        }

        /**
         * A response without a length is complete if the connection is closed, but not if it is
         * reset.
         */
        @Test
        void acceptsAResponseWithoutLengthUnlessReset() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                final String head = "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n\r\n";
                relay.replica(0)
                        .addScript(
                                e -> {
                                    e.write(head + "whole");
                                    e.socket().close();
                                })
                        .addScript(
                                e -> {
                                    e.write(head + "cut");
                                    TimeUnit.MILLISECONDS.sleep(100);
                                    e.socket().setSoLinger(true, 0);
                                    e.socket().close();
                                });
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .endsWith("whole");
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
            }
        }

        /**
         * Response headers that were cut off by a crash may look like a complete response without a
         * body.
         */
        @Test
        void failsIfTheResponseDoesNotNameTheAttempt() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0)
                        .addScript(
                                e -> {
                                    e.write("HTTP/1.1 200 OK\r\n\r\n");
                                    e.socket().close();
                                });
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
            }
        }

        /**
         * A replica may respond before it read a long body; the rest of the body must not be read
         * as the next request.
         */
        @Test
        void doesNotReuseAConnectionAfterAnEarlyResponse() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0)
                        .addScript(e -> respond(e, 413, "early"))
                        .addScript(e -> respond(e, 200, "next"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "b".repeat(60_000)))
                        .startsWith("HTTP/1.1 413");
                assertThat(relay.request("POST", "/charge/2", NEXT_ATTEMPT_HEADER, "x"))
                        .endsWith("next");
            }
        }
    }

    @Nested
    class Idempotent {
        /** After a broken connection the request is sent to another replica. */
        @Test
        void isResentAfterABrokenConnection() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(relay, 2, e -> e.socket().close(), e -> respond(e, 200, "again"));
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).endsWith("again");
                RelayFixture.await(() -> relay.log().contains("\"event\":\"resent\""));
            }
        }

        /** A request to a silent replica is sent to another replica before its deadline. */
        @Test
        void isResentAfterSilence() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(relay, 2, e -> e.awaitClose(), e -> respond(e, 200, "again"));
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).endsWith("again");
            }
        }
    }

    @Nested
    class Streams {
        /** A stream that breaks inside an event is resumed after the last complete one. */
        @Test
        void areResumedAfterTheLastCompleteEvent() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(
                        relay,
                        2,
                        e -> {
                            startStream(e);
                            writeChunk(e, event(1) + event(2) + "id: 3\nda");
                            e.socket().close();
                        },
                        e -> {
                            startStream(e);
                            assertThat(e.header("Last-Event-ID")).isEqualTo("2");
                            writeChunk(e, event(2) + event(3));
                            endStream(e);
                        });
                final String response = relay.request("POST", "/draft/1", ATTEMPT_HEADER, "x");
                assertThat(response)
                        .containsOnlyOnce(event(1))
                        .containsOnlyOnce(event(2))
                        .containsOnlyOnce(event(3))
                        .endsWith("0\r\n\r\n");
            }
        }

        /** A stream that can't be resumed is cut off and must not look complete. */
        @Test
        void areCutOffIfTheyCantBeResumed() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(
                        relay,
                        2,
                        e -> {
                            startStream(e);
                            writeChunk(e, event(1));
                            e.socket().close();
                        });
                final String response = relay.request("POST", "/notes/1", ATTEMPT_HEADER, "x");
                assertThat(response).contains(event(1)).doesNotContain("0\r\n\r\n");
                assertThat(runCount(relay, 2)).isEqualTo(1);
            }
        }

        /** If the caller disconnects during a stream, the work at the replica ends too. */
        @Test
        void endAtTheReplicaWhenTheCallerDisconnects() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                final CompletableFuture<Void> closed = new CompletableFuture<>();
                relay.replica(0)
                        .addScript(
                                e -> {
                                    startStream(e);
                                    writeChunk(e, event(1));
                                    e.awaitClose();
                                    closed.complete(null);
                                });
                try (Socket socket = relay.connect()) {
                    RelayFixture.send(socket, "POST", "/draft/1", ATTEMPT_HEADER, "x");
                    RelayFixture.readUntil(socket, event(1));
                }
                closed.get(5, TimeUnit.SECONDS);
            }
        }
    }

    @Nested
    class RequestValidation {
        @Test
        void refusesInvalidRequests() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                assertThat(relay.request("GET", "/none/", ATTEMPT_HEADER, ""))
                        .startsWith("HTTP/1.1 404");
                try (Socket socket = relay.connect()) {
                    socket.getOutputStream()
                            .write(
                                    "GET /lookup/1 HTTP/1.1\r\nHost: acme.example\r\n\r\n"
                                            .getBytes());
                    assertThat(RelayFixture.readUntil(socket, "\r\n")).contains("401");
                }
                final String large = "X-Large: " + "a".repeat(5_000) + "\r\n";
                assertThat(relay.request("GET", "/lookup/1", large, "")).startsWith("HTTP/1.1 431");
                assertThat(relay.request("POST", "/lookup/1", ATTEMPT_HEADER, "b".repeat(70_000)))
                        .startsWith("HTTP/1.1 413");
                assertThat(runCount(relay, 1)).isZero();
            }
        }

        /** Guards against a request inside the body of another one that is run. */
        @Test
        void refusesTransferCodingsWhoseBodyItCannotFrame() throws Exception {
            for (final String coding : new String[] {"gzip", "identity", "gzip, chunked"}) {
                try (RelayFixture relay = new RelayFixture(1);
                        Socket socket = relay.connect()) {
                    final String inner =
                            "POST /charge/2 HTTP/1.1\r\nHost: acme.example\r\n"
                                    + "Authorization: Bearer "
                                    + RelayFixture.KEY
                                    + "\r\nContent-Length: 0\r\n\r\n";
                    RelayFixture.send(
                            socket,
                            "POST",
                            "/charge/1",
                            ATTEMPT_HEADER + "Transfer-Encoding: " + coding + "\r\n",
                            "");
                    socket.getOutputStream().write(inner.getBytes());
                    assertThat(RelayFixture.readUntil(socket, "\r\n")).contains("501");
                    assertThat(runCount(relay, 1)).isZero();
                }
            }
        }

        /** Guards against a path or query that reaches the replica changed. */
        @Test
        void refusesATargetThatIsNotPercentEncoded() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                assertThat(relay.request("GET", "/lookup/\u00e4?q=\u00e4", ATTEMPT_HEADER, ""))
                        .startsWith("HTTP/1.1 400");
                assertThat(runCount(relay, 1)).isZero();
                relay.replica(0).addScript(e -> respond(e, 200, "whole"));
                assertThat(relay.request("GET", "/lookup/%C3%A4", ATTEMPT_HEADER, ""))
                        .startsWith("HTTP/1.1 200");
            }
        }

        /**
         * A body with both chunked encoding and a Content-Length is forwarded with one length only;
         * otherwise a second request could be smuggled inside the body.
         */
        @Test
        void forwardsOneLengthForABodyWithTwoFramings() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0).addScript(e -> respond(e, 200, e.body()));
                final String both =
                        ATTEMPT_HEADER + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n";
                try (Socket socket = relay.connect()) {
                    RelayFixture.send(socket, "POST", "/charge/1", both, "");
                    socket.getOutputStream().write("3\r\nabc\r\n0\r\n\r\n".getBytes());
                    assertThat(RelayFixture.readUntil(socket, "abc")).contains("200");
                }
                assertThat(relay.replica(0).requestHeads().get(0))
                        .contains("content-length: 3")
                        .doesNotContainIgnoringCase("transfer-encoding");
                assertThat(runCount(relay, 1)).isEqualTo(1);
            }
        }

        /** A request whose body ends early must not reach a replica. */
        @Test
        void dropsRequestsWhoseBodyEndsEarly() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                try (Socket socket = relay.connect()) {
                    RelayFixture.send(
                            socket,
                            "POST",
                            "/charge/1",
                            ATTEMPT_HEADER + "Content-Length: 50\r\n",
                            "");
                    socket.getOutputStream().write(new byte[10]);
                    socket.shutdownOutput();
                    assertThat(socket.getInputStream().read()).isEqualTo(-1);
                }
                relay.replica(0).addScript(e -> respond(e, 200, "ok"));
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).endsWith("ok");
                assertThat(runCount(relay, 1)).isEqualTo(1);
            }
        }
    }
}
