package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static io.persimmonreel.daemon.relay.ReplicaScripts.scriptAll;
import static io.persimmonreel.daemon.relay.ReplicaScripts.startStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BrokenResponseTest {
    private static final String NOT_RUN_HEADER = "Persimmonreel-Not-Run: 1\r\n";

    private static void refuse(final Exchange exchange) throws IOException {
        respond(exchange, 503, NOT_RUN_HEADER, "full");
    }

    private static int closedPort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    @Nested
    class ARefusalThatIsWrittenTwice {
        /** Responds to lookups, and refuses the first charge, again on the same connection. */
        private static final class RefusingTwice implements Script {
            private final AtomicReference<Socket> mRefusedOn = new AtomicReference<>();

            @Override
            public void answer(final Exchange exchange) throws IOException {
                if (exchange.line().contains("/charge/")) {
                    if (mRefusedOn.compareAndSet(null, exchange.socket())) {
                        refuse(exchange);
                        return;
                    }
                    if (exchange.socket() == mRefusedOn.get()) {
                        refuse(exchange);
                    }
                }
                respond(exchange, 200, "done");
            }
        }

        /** Guards against "not run" for a request that the replica runs on its second arrival. */
        @Test
        void isNoProofForTheSameRequestOnTheSameConnection() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                final Script script = new RefusingTwice();
                relay.replica(0).addScript(script).addScript(script).addScript(script);
                // The replica with a known response time is the first choice.
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "")).contains("200");
                relay.addReplica("closed", closedPort());
                RelayFixture.await(() -> relay.log().contains("\"replica\":\"closed\""));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 200");
                assertThat(runCount(relay, 1)).isEqualTo(3);
            }
        }

        @Test
        void isNotTakenForTheResponseToTheNextRequest() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0)
                        .addScript(BrokenResponseTest::refuse)
                        .addScript(
                                exchange -> {
                                    exchange.write(
                                            "HTTP/1.1 503 x\r\nPersimmonreel-Attempt: a1\r\n"
                                                    + NOT_RUN_HEADER
                                                    + "Content-Length: 4\r\n\r\nfull");
                                    respond(exchange, 200, "done");
                                });
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .as(relay.log())
                        .startsWith("HTTP/1.1 503");
                assertThat(relay.request("POST", "/charge/2", "Persimmonreel-Attempt: a2\r\n", "x"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Nested
    class AStreamThatBroke {
        private static void breakAfterOneEvent(final Exchange exchange) throws IOException {
            startStream(exchange);
            writeChunk(exchange, event(1));
            exchange.socket().close();
        }

        private static void assertCutOffAfterOneEvent(final Script second) throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                scriptAll(relay, 2, AStreamThatBroke::breakAfterOneEvent, second);
                assertThat(relay.request("POST", "/draft/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 200")
                        .endsWith(event(1) + "\r\n")
                        .containsOnlyOnce("HTTP/1.1");
                assertThat(runCount(relay, 2)).isEqualTo(2);
            }
        }

        @Test
        void isCutOffIfTheNextReplicaAnswersWithAnError() throws Exception {
            assertCutOffAfterOneEvent(exchange -> respond(exchange, 500, "error text"));
        }

        @Test
        void isCutOffIfTheNextReplicaRefuses() throws Exception {
            assertCutOffAfterOneEvent(BrokenResponseTest::refuse);
        }

        @Test
        void isCutOffIfTheNextReplicaDoesNotKnowIt() throws Exception {
            assertCutOffAfterOneEvent(exchange -> respond(exchange, 404, "not found"));
        }

        @Test
        void isCutOffIfTheNextReplicaAnswersWithoutAStream() throws Exception {
            assertCutOffAfterOneEvent(exchange -> respond(exchange, 200, "text"));
        }

        @Test
        void isCutOffIfTheNextReplicaStreamsAnError() throws Exception {
            assertCutOffAfterOneEvent(
                    exchange ->
                            respond(
                                    exchange,
                                    502,
                                    "Content-Type: text/event-stream\r\n",
                                    "data: error\n\n"));
        }

        @Test
        void isCutOffIfTheNextReplicaStopsInTheHead() throws Exception {
            assertCutOffAfterOneEvent(
                    exchange -> {
                        exchange.write("HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nConte");
                        exchange.socket().close();
                    });
        }
    }

    @Nested
    class AHeadThatIsCutOff {
        private static final String HEAD =
                "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nContent-Length: 4\r\n"
                        + "Content-Type: text/plain\r\n\r\n";

        private static final String STREAM_HEAD =
                "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

        private static void assertNeverSucceeds(final String path, final String head)
                throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                for (int length = 1; length < head.length(); length++) {
                    final String part = head.substring(0, length);
                    relay.replica(0)
                            .addScript(
                                    exchange -> {
                                        exchange.write(part);
                                        exchange.socket().close();
                                    });
                    assertThat(relay.request("POST", path, ATTEMPT_HEADER, "body " + length))
                            .as(part)
                            .startsWith("HTTP/1.1 502");
                }
            }
        }

        @Test
        void isNoSuccessWhereverItEnds() throws Exception {
            assertNeverSucceeds("/charge/1", HEAD);
        }

        @Test
        void isNoStreamWhereverItEnds() throws Exception {
            assertNeverSucceeds("/notes/1", STREAM_HEAD);
        }
    }
}
