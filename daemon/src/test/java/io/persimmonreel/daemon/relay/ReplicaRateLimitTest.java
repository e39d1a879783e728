package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.RateLimitNotice;
import io.persimmonreel.core.peer.RateLimitState;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaRateLimitTest {
    private static final int REQUESTS = 40;
    private static final double LIMIT_PER_SECOND = 0.5;

    /** Less than the time between two permits. */
    private static final int SHORT_DEADLINE_MILLIS = 1_500;

    private static final String SHORT_DEADLINE =
            "Persimmonreel-Deadline: " + SHORT_DEADLINE_MILLIS + "\r\n";

    private static final RateLimitState NOTHING_ALLOWED = new RateLimitState("r0", 1, true, 0, 0);

    /** The header lines with which a replica without a limit responds. */
    private static final String NO_LIMIT = "";

    private final AtomicReference<String> mFirstReplicaHeaders =
            new AtomicReference<>("Persimmonreel-Rate-Limit: " + LIMIT_PER_SECOND + "\r\n");

    private RelayFixture start() throws Exception {
        final RelayFixture relay = new RelayFixture(1);
        addScripts(relay.replica(0), mFirstReplicaHeaders::get);
        return relay;
    }

    private static void addScripts(final ScriptedUpstream replica, final Supplier<String> headers) {
        for (int i = 0; i < 2 * REQUESTS; i++) {
            replica.addScript(exchange -> respondOk(exchange, headers.get()));
        }
    }

    private static void respondOk(final Exchange exchange, final String headers)
            throws IOException {
        respond(exchange, 200, headers, "done");
    }

    private static String lookup(final RelayFixture relay) throws IOException {
        return relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "");
    }

    private static int requestsAtFirst(final RelayFixture relay) {
        return relay.replica(0).requestLines().size();
    }

    private static void awaitLimit(final RelayFixture relay) throws Exception {
        assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
        RelayFixture.await(() -> relay.log().contains("\"event\":\"limit-stated\""));
    }

    @Nested
    class AReplicaThatStatesALimit {
        @Test
        void getsNoMoreRequestsThanItStates() throws Exception {
            try (RelayFixture relay = start();
                    ScriptedUpstream second = new ScriptedUpstream(true)) {
                addScripts(second, () -> NO_LIMIT);
                awaitLimit(relay);
                relay.addReplica("second", second.port());
                RelayFixture.await(() -> relay.log().contains("\"replica\":\"second\""));
                final int before = requestsAtFirst(relay);
                final long beginNanos = System.nanoTime();
                for (int i = 0; i < REQUESTS; i++) {
                    assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                }
                final double seconds =
                        (double) (System.nanoTime() - beginNanos) / TimeUnit.SECONDS.toNanos(1);
                assertThat((double) requestsAtFirst(relay) - before)
                        .isLessThanOrEqualTo(1 + seconds * LIMIT_PER_SECOND);
            }
        }

        @Test
        void isUsedAgainWhenItStatesNone() throws Exception {
            try (RelayFixture relay = start()) {
                awaitLimit(relay);
                mFirstReplicaHeaders.set(NO_LIMIT);
                RelayFixture.await(
                        () -> {
                            try {
                                lookup(relay);
                            } catch (final IOException e) {
                                return false;
                            }
                            return relay.log().contains("\"event\":\"limit-ended\"");
                        });
            }
        }

        @Test
        void makesCallersReturnThatHaveNoTimeUntilItCanServeThem() throws Exception {
            try (RelayFixture relay = start()) {
                awaitLimit(relay);
                final int before = requestsAtFirst(relay);
                final long beginNanos = System.nanoTime();
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER + SHORT_DEADLINE, ""))
                        .startsWith("HTTP/1.1 503")
                        .containsIgnoringCase("Retry-After: 1");
                assertThat(System.nanoTime() - beginNanos)
                        .isLessThan(TimeUnit.MILLISECONDS.toNanos(SHORT_DEADLINE_MILLIS));
                assertThat(requestsAtFirst(relay)).isEqualTo(before);
            }
        }

        /** Guards against refusals of callers whose deadline allows the wait. */
        @Test
        void servesCallersThatHaveTimeWhenItCan() throws Exception {
            try (RelayFixture relay = start()) {
                awaitLimit(relay);
                final long beginNanos = System.nanoTime();
                assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                assertThat(System.nanoTime() - beginNanos)
                        .isGreaterThan(TimeUnit.SECONDS.toNanos(1));
            }
        }
    }

    @Nested
    class ALimit {
        @Test
        void thatAPeerReportsHoldsBeforeTheFirstRequest() throws Exception {
            try (RelayFixture relay = start();
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                peer.send(new RateLimitNotice(List.of(NOTHING_ALLOWED)));
                RelayFixture.await(() -> relay.log().contains("\"source\":\"peer\""));
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER + SHORT_DEADLINE, ""))
                        .startsWith("HTTP/1.1 503");
                assertThat(requestsAtFirst(relay)).isZero();
            }
        }

        @Test
        void isReportedToPeersAtOnceAndToThoseThatConnectLater() throws Exception {
            try (RelayFixture relay = start();
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                awaitLimit(relay);
                RelayFixture.await(() -> !peer.received(RateLimitNotice.class).isEmpty());
                try (ScriptedPeer later = new ScriptedPeer(relay, 2)) {
                    RelayFixture.await(() -> !later.received(RateLimitNotice.class).isEmpty());
                }
            }
        }

        @Test
        void ofAResponseToAnotherRequestIsIgnored() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0)
                        .addScript(
                                exchange -> {
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: other\r\n"
                                                    + "Persimmonreel-Rate-Limit: 0\r\n"
                                                    + "Content-Length: 0\r\n\r\n");
                                    respondOk(exchange, NO_LIMIT);
                                });
                assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                assertThat(relay.log()).doesNotContain("limit-stated");
            }
        }
    }
}
