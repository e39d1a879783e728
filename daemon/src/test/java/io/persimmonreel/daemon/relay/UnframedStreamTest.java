package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.event;
import static io.persimmonreel.daemon.relay.ReplicaScripts.scriptAll;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.io.IOException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers streams with neither a length nor chunks, which end with their connection. */
class UnframedStreamTest {
    private static final String END = "0\r\n\r\n";

    private static void startUnframed(final Exchange exchange) throws IOException {
        exchange.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Persimmonreel-Attempt: a1\r\n\r\n");
    }

    private static void reset(final Exchange exchange) throws IOException {
        exchange.socket().setSoLinger(true, 0);
        exchange.socket().close();
    }

    private static String request(final String path, final Script first, final Script later)
            throws Exception {
        try (RelayFixture relay = new RelayFixture(2)) {
            scriptAll(relay, 2, first, later);
            return relay.request("POST", path, "Persimmonreel-Attempt: a1\r\n", "body");
        }
    }

    private static String notes(final Script script) throws Exception {
        return request("/notes/1", script, script);
    }

    @Nested
    class Stream {
        @Test
        void isCompleteIfItsConnectionClosesAfterAnEvent() throws Exception {
            final String response =
                    notes(
                            e -> {
                                startUnframed(e);
                                e.write(event(1) + event(2));
                                e.socket().close();
                            });
            assertThat(response).contains("data: e2").endsWith(END);
        }

        @Test
        void doesNotLookCompleteIfItEndsInsideAnEvent() throws Exception {
            final String response =
                    notes(
                            e -> {
                                startUnframed(e);
                                e.write(event(1) + "id: 2\ndata: e");
                                e.socket().close();
                            });
            assertThat(response).contains("data: e1").doesNotContain("id: 2").doesNotEndWith(END);
        }

        @Test
        void doesNotLookCompleteIfItsConnectionIsResetAfterAnEvent() throws Exception {
            final String response =
                    notes(
                            e -> {
                                startUnframed(e);
                                e.write(event(1));
                                // The relay reads the event before the reset can discard it.
                                Thread.sleep(100);
                                reset(e);
                            });
            assertThat(response).contains("data: e1").doesNotEndWith(END);
        }

        @Test
        void isResumedAfterTheLastWholeEventIfItEndsInsideOne() throws Exception {
            final String response =
                    request(
                            "/draft/1",
                            e -> {
                                startUnframed(e);
                                e.write(event(1) + "id: 2\ndata: wro");
                                e.socket().close();
                            },
                            e -> {
                                startUnframed(e);
                                e.write(event(2));
                                e.socket().close();
                            });
            assertThat(response)
                    .contains("data: e1", "data: e2")
                    .doesNotContain("wro")
                    .endsWith(END);
        }
    }
}
