package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.awaitCrashes;
import static io.persimmonreel.daemon.relay.ReplicaScripts.endStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static io.persimmonreel.daemon.relay.ReplicaScripts.scriptAll;
import static io.persimmonreel.daemon.relay.ReplicaScripts.startStream;
import static io.persimmonreel.daemon.relay.ReplicaScripts.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import java.io.IOException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptPartCrashTest {
    private static final int REPLICAS = 6;
    private static final String CRASHING_PART = "c4";

    /** Sends a request whose prompt has three parts; all but the second differ from others. */
    private static String send(final RelayFixture relay, final String path, final String part)
            throws IOException {
        return relay.request(
                "POST",
                path,
                "Persimmonreel-Attempt: a1\r\nPersimmonreel-Prompt-Parts: 1:60,"
                        + part
                        + ":500,"
                        + System.nanoTime()
                        + ":20\r\n",
                "body " + System.nanoTime());
    }

    /** Ends inside the first event, as a replica does that crashes when it starts to respond. */
    private static void crash(final Exchange exchange) throws IOException {
        startStream(exchange);
        writeChunk(exchange, "id: 1\ndata: e");
        exchange.socket().close();
    }

    /** Crashes for requests with the part, and responds with one event to others. */
    private static void answer(final Exchange exchange) throws IOException {
        if (exchange.header("Persimmonreel-Prompt-Parts").contains(CRASHING_PART)) {
            crash(exchange);
        } else {
            startStream(exchange);
            writeChunk(exchange, event(1));
            endStream(exchange);
        }
    }

    private static RelayFixture start() throws Exception {
        final RelayFixture relay = new RelayFixture(REPLICAS);
        for (int i = 0; i < REPLICAS; i++) {
            scriptAll(relay, REPLICAS, PromptPartCrashTest::answer);
        }
        return relay;
    }

    @Nested
    class Requests {
        @Test
        void thatShareOnePartDoNotCrashReplicasOneAfterAnother() throws Exception {
            try (RelayFixture relay = start()) {
                for (int crashes = 1; crashes <= 2; crashes++) {
                    assertThat(send(relay, "/notes/1", CRASHING_PART)).startsWith("HTTP/1.1 502");
                    awaitCrashes(relay, crashes);
                }
                for (int i = 0; i < 3; i++) {
                    assertThat(send(relay, "/notes/1", CRASHING_PART))
                            .startsWith("HTTP/1.1 503")
                            .containsIgnoringCase("Retry-After:");
                }
                assertThat(runCount(relay, REPLICAS)).isEqualTo(2);
            }
        }

        @Test
        void areNotSentToAThirdReplicaWhenTheyCrashedTwo() throws Exception {
            try (RelayFixture relay = start()) {
                assertThat(send(relay, "/draft/1", CRASHING_PART)).startsWith("HTTP/1.1 502");
                awaitCrashes(relay, 2);
                assertThat(send(relay, "/draft/1", CRASHING_PART)).startsWith("HTTP/1.1 503");
                assertThat(runCount(relay, REPLICAS)).isEqualTo(2);
            }
        }

        @Test
        void withTheSameCallerAndFirstPartAreServedBesides() throws Exception {
            try (RelayFixture relay = start()) {
                for (int crashes = 1; crashes <= 2; crashes++) {
                    send(relay, "/notes/1", CRASHING_PART);
                    awaitCrashes(relay, crashes);
                    assertThat(send(relay, "/notes/1", "d5")).contains("200 OK", "data: e1");
                }
                assertThat(send(relay, "/notes/1", CRASHING_PART)).startsWith("HTTP/1.1 503");
                assertThat(send(relay, "/notes/1", "d5")).contains("200 OK", "data: e1");
            }
        }
    }
}
