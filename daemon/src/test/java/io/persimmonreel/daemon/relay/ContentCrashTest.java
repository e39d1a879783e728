package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.awaitCrashes;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static io.persimmonreel.daemon.relay.ReplicaScripts.scriptAll;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.route.EngineProfile;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ContentCrashTest {
    private static final int REPLICAS = 6;
    private static final String CRASHING_BODY = "crashing";
    private static final String SOUND_BODY = "sound";

    /** Crashes for requests with the crashing body, and responds to others. */
    private static void answer(final Exchange exchange) throws IOException {
        if (exchange.body().contains(CRASHING_BODY)) {
            crash(exchange);
        } else {
            respond(exchange, 200, "done");
        }
    }

    private static RelayFixture start() throws Exception {
        final RelayFixture relay = new RelayFixture(REPLICAS);
        for (int i = 0; i < REPLICAS; i++) {
            scriptAll(relay, REPLICAS, ContentCrashTest::answer);
        }
        return relay;
    }

    private static void crash(final Exchange exchange) throws IOException {
        exchange.socket().close();
    }

    private static String lookup(final RelayFixture relay) {
        try {
            return relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "");
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String charge(final RelayFixture relay, final String body) throws IOException {
        return relay.request("POST", "/charge/1", ATTEMPT_HEADER, body);
    }

    @Nested
    class RequestsThatMustNotRepeat {
        @Test
        void areRefusedWhenTheirContentCrashedTwoReplicas() throws Exception {
            try (RelayFixture relay = start()) {
                for (int crashes = 1; crashes <= 2; crashes++) {
                    assertThat(charge(relay, CRASHING_BODY)).startsWith("HTTP/1.1 502");
                    awaitCrashes(relay, crashes);
                }
                assertThat(charge(relay, CRASHING_BODY))
                        .startsWith("HTTP/1.1 503")
                        .containsIgnoringCase("Retry-After:");
                assertThat(runCount(relay, REPLICAS)).isEqualTo(2);
            }
        }

        @Test
        void areRefusedAlsoIfTheirHeadersDifferFromTryToTry() throws Exception {
            final RelayConfiguration engines =
                    RelayFixture.configuration(1, 2, 0, Optional.of(new EngineProfile(1)));
            try (RelayFixture relay = new RelayFixture(REPLICAS, Duration.ofSeconds(8), engines)) {
                for (int crashes = 1; crashes <= 3; crashes++) {
                    scriptAll(relay, REPLICAS, ContentCrashTest::crash);
                }
                for (int crashes = 1; crashes <= 2; crashes++) {
                    chargeWithPrompt(relay, "a" + crashes);
                    awaitCrashes(relay, crashes);
                }
                assertThat(chargeWithPrompt(relay, "a3")).startsWith("HTTP/1.1 503");
                assertThat(runCount(relay, REPLICAS)).isEqualTo(2);
            }
        }

        private static String chargeWithPrompt(final RelayFixture relay, final String lastPart)
                throws IOException {
            return relay.request(
                    "POST",
                    "/charge/1",
                    ATTEMPT_HEADER + "Persimmonreel-Prompt-Parts: " + lastPart + ":20\r\n",
                    CRASHING_BODY);
        }

        @Test
        void areServedIfOnlyTheirPathEqualsThatOfACrashingContent() throws Exception {
            try (RelayFixture relay = start()) {
                for (int crashes = 1; crashes <= 2; crashes++) {
                    charge(relay, CRASHING_BODY);
                    awaitCrashes(relay, crashes);
                }
                assertThat(charge(relay, SOUND_BODY)).startsWith("HTTP/1.1 200");
            }
        }
    }

    @Nested
    class Evidence {
        private static void crashTwice(final RelayFixture relay) throws Exception {
            for (int crashes = 1; crashes <= 2; crashes++) {
                charge(relay, CRASHING_BODY);
                awaitCrashes(relay, crashes);
            }
        }

        @Test
        void isGivenToDaemonsThatConnectAfterTheCrashes() throws Exception {
            try (RelayFixture relay = start()) {
                crashTwice(relay);
                try (ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                    RelayFixture.await(
                            () ->
                                    peer.received(QuarantineNotice.class).stream()
                                            .anyMatch(QuarantineNotice::quarantined));
                }
            }
        }

        @Test
        void isRepeatedForDaemonsThatLostTheNoticeOfARefusal() throws Exception {
            try (RelayFixture relay = start();
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                crashTwice(relay);
                RelayFixture.await(
                        () ->
                                peer.received(QuarantineNotice.class).stream()
                                                .filter(QuarantineNotice::quarantined)
                                                .count()
                                        > 1);
            }
        }

        @Test
        void ofAnotherDaemonStopsTheResendOfARequest() throws Exception {
            try (RelayFixture relay = new RelayFixture(REPLICAS);
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                final CountDownLatch told = new CountDownLatch(1);
                scriptAll(relay, REPLICAS, ContentCrashTest::crash, e -> respond(e, 200, "done"));
                assertThat(lookup(relay)).startsWith("HTTP/1.1 200");
                RelayFixture.await(() -> !peer.received(QuarantineNotice.class).isEmpty());
                final QuarantineNotice suspicion = peer.received(QuarantineNotice.class).get(0);
                final Script crashWhenTold =
                        exchange -> {
                            peer.send(stopped(suspicion));
                            assertThat(told.await(5, TimeUnit.SECONDS)).isTrue();
                            crash(exchange);
                        };
                for (int i = 0; i < 2; i++) {
                    scriptAll(relay, REPLICAS, crashWhenTold, e -> respond(e, 200, "done"));
                }
                final CompletableFuture<String> response =
                        CompletableFuture.supplyAsync(() -> lookup(relay));
                RelayFixture.await(() -> relay.log().contains("\"event\":\"told\""));
                told.countDown();
                assertThat(response.get(5, TimeUnit.SECONDS)).startsWith("HTTP/1.1 502");
                assertThat(runCount(relay, REPLICAS)).isEqualTo(3);
            }
        }

        private static QuarantineNotice stopped(final QuarantineNotice suspicion) {
            return new QuarantineNotice(
                    suspicion.service(),
                    suspicion.digest(),
                    suspicion.similarity(),
                    List.of("another"),
                    true,
                    false,
                    0);
        }
    }
}
