package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.ReplicaCrashNotice;
import io.persimmonreel.core.peer.ReplicaCrash;
import io.persimmonreel.core.route.RelayUpstream;
import io.persimmonreel.core.route.WarmUp;
import io.persimmonreel.core.warmup.WarmUpBound;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ColdReplicaLimitsTest {
    private static final int REQUESTS = 6;
    private static final double PER_SECOND = 2;
    private static final WarmUpBound BOUND = new WarmUpBound(1.5, 1);
    private static final ReplicaCrashNotice CRASH =
            new ReplicaCrashNotice(List.of(new ReplicaCrash("r0", 1, 0)));

    private static RelayFixture start(final int replicas, final Optional<WarmUpBound> bound)
            throws Exception {
        final RelayFixture relay =
                new RelayFixture(
                        replicas,
                        Duration.ofSeconds(8),
                        RelayFixture.configuration(
                                1,
                                2,
                                0,
                                new RelayUpstream(
                                        "app",
                                        Optional.empty(),
                                        Optional.of(new WarmUp(PER_SECOND)))),
                        new NativeDialect(),
                        bound);
        for (int i = 0; i < replicas; i++) {
            for (int request = 0; request < 2 * REQUESTS; request++) {
                relay.replica(i).addScript(exchange -> respond(exchange, 200, "", "done"));
            }
        }
        return relay;
    }

    private static String lookup(final RelayFixture relay) throws IOException {
        return relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "");
    }

    /** Sends requests until the replica is gone, which may accept one more connection before. */
    private static void awaitUnreachable(final RelayFixture relay, final BooleanSupplier until)
            throws InterruptedException {
        final String headers = ATTEMPT_HEADER + "Persimmonreel-Deadline: 500\r\n";
        RelayFixture.await(
                () -> {
                    try {
                        return relay.request("GET", "/lookup/1", headers, "")
                                        .startsWith("HTTP/1.1 503")
                                && until.getAsBoolean();
                    } catch (final IOException e) {
                        return false;
                    }
                });
    }

    @Nested
    class AReplicaThatRefusesConnections {
        @Test
        void isReportedToPeersAtOnceAndToThoseThatConnectLater() throws Exception {
            try (RelayFixture relay = start(1, Optional.of(BOUND));
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                relay.replica(0).close();
                awaitUnreachable(relay, () -> !peer.received(ReplicaCrashNotice.class).isEmpty());
                assertThat(peer.received(ReplicaCrashNotice.class).get(0).crashes())
                        .extracting(ReplicaCrash::replica)
                        .containsExactly("r0");
                RelayFixture.await(() -> relay.log().contains("\"event\":\"cold\""));
                try (ScriptedPeer later = new ScriptedPeer(relay, 2)) {
                    RelayFixture.await(() -> !later.received(ReplicaCrashNotice.class).isEmpty());
                }
            }
        }

        /** Guards against a change for fleets whose settings have no bound. */
        @Test
        void isNotReportedWithoutABound() throws Exception {
            try (RelayFixture relay = start(1, Optional.empty());
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                relay.replica(0).close();
                awaitUnreachable(relay, () -> relay.log().contains("unreachable: "));
                assertThat(peer.received(ReplicaCrashNotice.class)).isEmpty();
                assertThat(relay.log()).doesNotContain("\"event\":\"cold\"");
            }
        }
    }

    /**
     * Guards against replicas that lose a response and count as cold for it: while responses were
     * lost on many of them, the whole fleet sent to the few others.
     */
    @Nested
    class AReplicaThatLosesAResponse {
        @Test
        void isNotCold() throws Exception {
            try (RelayFixture relay = start(1, Optional.of(BOUND));
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                for (int i = 0; i < 2 * REQUESTS; i++) {
                    assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                }
                relay.replica(0)
                        .addScript(
                                e -> {
                                    throw new IOException("the response is lost");
                                })
                        .addScript(e -> respond(e, 200, "done"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
                assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                assertThat(peer.received(ReplicaCrashNotice.class)).isEmpty();
                assertThat(relay.log()).doesNotContain("\"event\":\"cold\"");
            }
        }
    }

    @Nested
    class AReplicaThatAPeerReports {
        @Test
        void getsNoMoreRequestsThanTheRateAllows() throws Exception {
            try (RelayFixture relay = start(1, Optional.of(BOUND));
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                peer.send(CRASH);
                RelayFixture.await(() -> relay.log().contains("\"source\":\"peer\""));
                final long beginNanos = System.nanoTime();
                for (int i = 0; i < REQUESTS; i++) {
                    assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                }
                final double seconds =
                        (double) (System.nanoTime() - beginNanos) / TimeUnit.SECONDS.toNanos(1);
                assertThat((double) REQUESTS).isLessThanOrEqualTo(1 + seconds * PER_SECOND);
            }
        }

        @Test
        void isNotLimitedWithoutABound() throws Exception {
            try (RelayFixture relay = start(1, Optional.empty());
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                peer.send(CRASH);
                for (int i = 0; i < REQUESTS; i++) {
                    assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                }
                assertThat(relay.log()).doesNotContain("\"event\":\"cold\"");
            }
        }
    }
}
