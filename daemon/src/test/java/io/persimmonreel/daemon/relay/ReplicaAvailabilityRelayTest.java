package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers replicas that say in responses that they are leaving or want no requests for a time. */
class ReplicaAvailabilityRelayTest {
    private static final String LEAVING = "Persimmonreel-Leaving: 1\r\n";
    private static final String NOT_RUN = "Persimmonreel-Not-Run: 1\r\n";
    private static final String RETRY_AFTER = "Retry-After: 1\r\n";
    private static final int PUSH_BACK_MILLIS = 1_000;

    /** Half of the time within which replicas must stop receiving requests. */
    private static final int LAST_RESORT_MILLIS = 1_000;

    private static final int REQUESTS = 20;
    private static final int MANY_REQUESTS = 200;
    private static final int NONE = -1;
    private static final Script SERVE = e -> respond(e, 200, "whole");

    private static void addScripts(
            final RelayFixture relay, final int replica, final int count, final Script script) {
        for (int i = 0; i < count; i++) {
            relay.replica(replica).addScript(script);
        }
    }

    private static String charge(final RelayFixture relay) throws Exception {
        return relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x");
    }

    /** Sends a request whose caller has less time than a push-back lasts. */
    private static String chargeBeforeTheEnd(final RelayFixture relay) throws Exception {
        return relay.request(
                "POST", "/charge/1", ATTEMPT_HEADER + "Persimmonreel-Deadline: 400\r\n", "x");
    }

    private static int received(final RelayFixture relay, final int replica) {
        return relay.replica(replica).requestLines().size();
    }

    /**
     * Lets the replica that gets the first request run one script, and all others serve; returns
     * the index of that replica.
     */
    private static int chargeFirst(final RelayFixture relay, final Script script) throws Exception {
        final AtomicInteger first = new AtomicInteger(NONE);
        for (int i = 0; i < 2; i++) {
            final int replica = i;
            addScripts(
                    relay,
                    replica,
                    MANY_REQUESTS,
                    e -> (first.compareAndSet(NONE, replica) ? script : SERVE).answer(e));
        }
        charge(relay);
        return first.get();
    }

    private static double retryAfterSeconds(final String response) {
        return response.lines()
                .filter(line -> line.toLowerCase(java.util.Locale.ROOT).startsWith("retry-after:"))
                .mapToDouble(line -> Double.parseDouble(line.substring(12).trim()))
                .findFirst()
                .orElse(0);
    }

    @Nested
    class AReplicaThatLeaves {
        private void assertGetsNothingMore(final Script leaving) throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                final int left = chargeFirst(relay, leaving);
                for (int i = 0; i < REQUESTS; i++) {
                    assertThat(charge(relay)).startsWith("HTTP/1.1 200");
                }
                assertThat(received(relay, left)).isEqualTo(1);
                RelayFixture.await(() -> relay.log().contains("\"event\":\"leaving\""));
            }
        }

        /** Guards against requests that reach a replica whose entry stays ready. */
        @Test
        void getsNothingMoreAfterASuccess() throws Exception {
            assertGetsNothingMore(e -> respond(e, 200, LEAVING, "whole"));
        }

        @Test
        void getsNothingMoreAfterAnError() throws Exception {
            assertGetsNothingMore(e -> respond(e, 500, LEAVING, "broken"));
        }

        @Test
        void getsNothingMoreAfterARefusal() throws Exception {
            assertGetsNothingMore(e -> respond(e, 503, LEAVING + NOT_RUN, "full"));
        }

        @Test
        void getsNothingMoreAfterAMisdirectedRequest() throws Exception {
            assertGetsNothingMore(e -> respond(e, 421, LEAVING, "other"));
        }

        /** A response to another attempt may come from before a restart. */
        @Test
        void isNotMarkedByALateCopy() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0)
                        .addScript(
                                e -> {
                                    e.write(
                                            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: old\r\n"
                                                    + LEAVING
                                                    + "Content-Length: 0\r\n\r\n");
                                    respond(e, 200, "whole");
                                })
                        .addScript(SERVE);
                assertThat(charge(relay)).endsWith("whole");
                TimeUnit.MILLISECONDS.sleep(LAST_RESORT_MILLIS);
                assertThat(charge(relay)).endsWith("whole");
            }
        }

        /** The only replica is used as a last resort, but not for as long as it may be. */
        @Test
        void getsNothingMoreAfterATimeIfItIsTheOnlyOne() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                addScripts(relay, 0, 3, e -> respond(e, 200, LEAVING, "whole"));
                assertThat(charge(relay)).startsWith("HTTP/1.1 200");
                assertThat(charge(relay)).startsWith("HTTP/1.1 200");
                TimeUnit.MILLISECONDS.sleep(LAST_RESORT_MILLIS);
                assertThat(charge(relay)).startsWith("HTTP/1.1 503");
                assertThat(received(relay, 0)).isEqualTo(2);
            }
        }
    }

    @Nested
    class AReplicaThatPushesBack {
        @Test
        void getsNothingUntilTheEndWhileAnotherServes() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                final int full =
                        chargeFirst(relay, e -> respond(e, 503, NOT_RUN + RETRY_AFTER, "full"));
                final long start = System.nanoTime();
                while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(500)) {
                    assertThat(charge(relay)).startsWith("HTTP/1.1 200");
                    TimeUnit.MILLISECONDS.sleep(10);
                }
                assertThat(received(relay, full)).isEqualTo(1);
            }
        }

        /** Guards against requests that go round among replicas all of which push back. */
        @Test
        void getsNothingUntilTheEndIfAllDo() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                for (int i = 0; i < 2; i++) {
                    addScripts(relay, i, 1, e -> respond(e, 503, NOT_RUN + RETRY_AFTER, "full"));
                    addScripts(relay, i, REQUESTS, SERVE);
                }
                while (received(relay, 0) + received(relay, 1) < 2) {
                    charge(relay);
                }
                final long start = System.nanoTime();
                for (int i = 0; i < 3; i++) {
                    final String response = chargeBeforeTheEnd(relay);
                    assertThat(response).startsWith("HTTP/1.1 503");
                    assertThat(retryAfterSeconds(response)).isPositive();
                }
                assertThat(received(relay, 0) + received(relay, 1)).isEqualTo(2);
                // A caller with time is served at the end.
                assertThat(charge(relay)).startsWith("HTTP/1.1 200");
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
                        .isGreaterThan(PUSH_BACK_MILLIS / 2);
            }
        }

        /** Without the statement that it did not run, the request may have run. */
        @Test
        void isHeardWithoutAPromise() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                addScripts(relay, 0, 1, e -> respond(e, 503, RETRY_AFTER, "full"));
                addScripts(relay, 0, 1, SERVE);
                assertThat(charge(relay)).startsWith("HTTP/1.1 502");
                assertThat(chargeBeforeTheEnd(relay)).startsWith("HTTP/1.1 503");
                assertThat(received(relay, 0)).isEqualTo(1);
            }
        }
    }
}
