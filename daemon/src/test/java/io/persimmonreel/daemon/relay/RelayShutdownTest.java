package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.EngineProfile;
import io.persimmonreel.core.route.RelayConfiguration;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayShutdownTest {
    /** Stops a relay whose replica never responds, and checks how it ends the request. */
    private void assertEndsWithoutPromise(final String path) throws Exception {
        try (RelayFixture relay = new RelayFixture(1, Duration.ofSeconds(2))) {
            final CountDownLatch received = new CountDownLatch(1);
            relay.replica(0)
                    .addScript(
                            e -> {
                                received.countDown();
                                e.awaitClose();
                            });
            try (Socket socket = relay.connect()) {
                RelayFixture.send(socket, "POST", path, ATTEMPT_HEADER, "x");
                received.await();
                final Thread stopping = stop(relay);
                assertThat(new String(socket.getInputStream().readAllBytes()))
                        .startsWith("HTTP/1.1 502")
                        .doesNotContain("retry-after");
                stopping.join();
            }
            assertThat(runCount(relay, 1)).isEqualTo(1);
            assertThat(relay.log()).contains("\"phase\":\"SENT\"", "\"may_have_run\":true");
        }
    }

    private Thread stop(final RelayFixture relay) {
        final Thread thread =
                new Thread(
                        () -> {
                            try {
                                relay.daemon().stop();
                            } catch (final InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.start();
        return thread;
    }

    @Nested
    class WithinTheGraceTime {
        /** A request in progress is completed, and its connection closes after the response. */
        @Test
        void finishesRequestsInProgress() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                final CountDownLatch received = new CountDownLatch(1);
                final CountDownLatch mayRespond = new CountDownLatch(1);
                relay.replica(0)
                        .addScript(
                                e -> {
                                    received.countDown();
                                    mayRespond.await();
                                    respond(e, 200, "whole");
                                });
                try (Socket socket = relay.connect()) {
                    RelayFixture.send(socket, "POST", "/charge/1", ATTEMPT_HEADER, "x");
                    received.await();
                    final Thread stopping = stop(relay);
                    RelayFixture.await(() -> relay.log().contains("\"event\":\"leaving\""));
                    mayRespond.countDown();
                    final String response = new String(socket.getInputStream().readAllBytes());
                    assertThat(response.toLowerCase(java.util.Locale.ROOT))
                            .contains("connection: close")
                            .endsWith("whole");
                    stopping.join();
                }
            }
        }

        /**
         * A request that can't finish before the process ends is refused as not run instead of
         * being cut off.
         */
        @Test
        void refusesRequestsThatCantFinishInTime() throws Exception {
            try (RelayFixture relay = new RelayFixture(1, Duration.ofMillis(500))) {
                final Thread stopping = stop(relay);
                RelayFixture.await(() -> relay.log().contains("\"event\":\"leaving\""));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 503");
                assertThat(runCount(relay, 1)).isZero();
                stopping.join();
            }
        }
    }

    @Nested
    class AfterLoadBalancersHaveReacted {
        private static final long REACTION_MILLIS = 2_600;

        /** Guards against a stream that is accepted late and cut off at the end of the process. */
        @Test
        void refusesAStreamOfUnlimitedLength() throws Exception {
            final RelayConfiguration configuration =
                    RelayFixture.configuration(1, 2, 0, Optional.of(new EngineProfile(1)));
            try (RelayFixture relay = new RelayFixture(1, Duration.ofMillis(6_500), configuration);
                    Socket earlier = relay.connect()) {
                final CountDownLatch mayRespond = new CountDownLatch(1);
                relay.replica(0)
                        .addScript(
                                e -> {
                                    mayRespond.await();
                                    respond(e, 200, "whole");
                                })
                        .addScript(
                                e -> {
                                    ReplicaScripts.startStream(e);
                                    ReplicaScripts.writeChunk(e, ReplicaScripts.event(1));
                                    e.awaitClose();
                                });
                RelayFixture.send(earlier, "POST", "/charge/1", ATTEMPT_HEADER, "x");
                RelayFixture.await(() -> runCount(relay, 1) == 1);
                final Thread stopping = stop(relay);
                TimeUnit.MILLISECONDS.sleep(REACTION_MILLIS);
                assertThat(relay.request("POST", "/notes/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 503");
                mayRespond.countDown();
                assertThat(new String(earlier.getInputStream().readAllBytes())).endsWith("whole");
                stopping.join();
                assertThat(runCount(relay, 1)).isEqualTo(1);
            }
        }
    }

    @Nested
    class AfterTheLastRequest {
        /** Guards against a charge that a replica runs and whose caller gets no response. */
        @Test
        void cutsOffNoRequestThatArrivesAtTheEndOfTheProcess() throws Exception {
            final LateCaller caller = new LateCaller();
            try (RelayFixture relay =
                    new RelayFixture(
                            1,
                            Duration.ofSeconds(8),
                            RelayFixture.configuration(1, 2, 0),
                            new NativeDialect(),
                            Optional.empty(),
                            caller)) {
                relay.replica(0)
                        .addScript(
                                e -> {
                                    caller.onReceived();
                                    TimeUnit.MILLISECONDS.sleep(LateCaller.RUN_MILLIS);
                                    respond(e, 200, "whole");
                                });
                final Thread stopping = stop(relay);
                caller.sendBeforeTheEnd(relay, stopping);
                stopping.join();
                final String response = caller.response();
                if (!response.endsWith("whole")) {
                    assertThat(runCount(relay, 1)).as("runs of: %s", response).isZero();
                }
            }
        }
    }

    @Nested
    class AtTheEndOfTheGraceTime {
        /** Guards against a connection that is closed instead of a refusal. */
        @Test
        void refusesRequestsThatWaitForTheFirstConfiguration() throws Exception {
            final StoppableClock clock = new StoppableClock();
            try (RelayFixture relay =
                            new RelayFixture(
                                    0,
                                    Duration.ofMillis(500),
                                    null,
                                    new NativeDialect(),
                                    Optional.empty(),
                                    clock);
                    Socket caller = relay.connect()) {
                // Otherwise the request is refused after a short time, before the process ends.
                clock.stop();
                RelayFixture.send(caller, "POST", "/charge/1", ATTEMPT_HEADER, "x");
                final Thread stopping = stop(relay);
                assertThat(new String(caller.getInputStream().readAllBytes()))
                        .startsWith("HTTP/1.1 503");
                stopping.join();
            }
        }

        /** Callers repeat a charge after 503, so a charge that a replica runs must not get it. */
        @Test
        void doesNotPromiseNotRunForARequestAtAReplica() throws Exception {
            assertEndsWithoutPromise("/charge/1");
        }

        @Test
        void doesNotPromiseNotRunForAStreamWithoutHead() throws Exception {
            assertEndsWithoutPromise("/notes/1");
        }

        /** No byte of the request was sent, so the caller may repeat it. */
        @Test
        void promisesNotRunForARequestThatWaitsForAConnection() throws Exception {
            try (UnacceptingListener listener = new UnacceptingListener();
                    RelayFixture relay = new RelayFixture(0, Duration.ofMillis(200))) {
                relay.addReplica("r0", listener.port());
                final Thread stopping;
                try (Socket socket = relay.connect()) {
                    RelayFixture.send(socket, "POST", "/charge/1", ATTEMPT_HEADER, "x");
                    RelayFixture.await(() -> relay.log().contains("\"event\":\"sent\""));
                    stopping = stop(relay);
                    assertThat(new String(socket.getInputStream().readAllBytes()))
                            .startsWith("HTTP/1.1 503");
                }
                stopping.join();
                assertThat(relay.log()).doesNotContain("\"may_have_run\":true");
            }
        }
    }
}
