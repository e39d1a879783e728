package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that reach the replicas of an evacuated zone. */
class ZoneEvacuationRelayTest {
    private static final long DEADLINE_MILLIS = 2_900;
    private static final int SLOTS = 4;
    private static final int REQUESTS = 30;
    private static final int PORT_1 = 1;
    private static final int PORT_2 = 2;

    private static ReplicaEntry entry(final int port, final long startedMillis) {
        return new ReplicaEntry(
                "r" + port, "app", "127.0.0.1", port, "z" + port, SLOTS, false, startedMillis);
    }

    /** Covers two zones with a replica each, in virtual time. */
    @Nested
    class OneOfTwoZones {
        private final VirtualRelay mRelay = new VirtualRelay();

        OneOfTwoZones() {
            mRelay.advance(1);
            mRelay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
            mRelay.onReplicas(List.of(entry(PORT_1, 1), entry(PORT_2, 1)));
        }

        private VirtualCaller send(final VirtualRequest.Kind kind) {
            final VirtualCaller caller = mRelay.newCaller();
            caller.send(mRelay.newRequest(kind), DEADLINE_MILLIS);
            mRelay.settle();
            return caller;
        }

        /** Establishes the oldest connection, over which requests arrive at once. */
        private VirtualReplicaConnection connect() {
            mRelay.endConnect(true, false);
            final List<VirtualReplicaConnection> connections = mRelay.replicaConnections();
            final VirtualReplicaConnection last = connections.get(connections.size() - 1);
            last.channel().limitWrites(Integer.MAX_VALUE);
            mRelay.settle();
            return last;
        }

        private void evacuate(final Set<String> zones) {
            mRelay.evacuate(zones);
            mRelay.settle();
        }

        /** Sends requests whose callers leave at once, and returns the ports they went to. */
        private Set<Integer> portsOfRequests() {
            final Set<Integer> ports = new HashSet<>();
            for (int i = 0; i < REQUESTS; i++) {
                final VirtualCaller caller = send(VirtualRequest.Kind.CHARGE);
                ports.add(mRelay.connectingPort());
                caller.leave(true);
                mRelay.endConnect(false, false);
                mRelay.settle();
            }
            return ports;
        }

        @Test
        void getsNothingUntilItIsTakenBack() {
            evacuate(Set.of("z1"));
            assertThat(portsOfRequests()).containsExactly(PORT_2);
            evacuate(Set.of());
            assertThat(portsOfRequests()).containsExactlyInAnyOrder(PORT_1, PORT_2);
        }

        /** A replica that starts during the evacuation is a new one to the relay. */
        @Test
        void getsNothingAfterARestartOfItsReplica() {
            evacuate(Set.of("z1"));
            mRelay.onReplicas(List.of(entry(PORT_1, 2), entry(PORT_2, 1)));
            assertThat(portsOfRequests()).containsExactly(PORT_2);
        }

        /** The connection may be established long after the begin of the evacuation. */
        @Test
        void getsNoRequestThatWaitsForAConnection() {
            send(VirtualRequest.Kind.CHARGE);
            final int evacuated = mRelay.connectingPort();
            evacuate(Set.of("z" + evacuated));
            // The request does not wait until the connection is established or fails.
            assertThat(mRelay.service().replicas().all())
                    .allMatch(r -> r.ownInFlight() == (r.entry().port() == evacuated ? 0 : 1));
            final VirtualReplicaConnection abandoned = connect();
            assertThat(abandoned.port()).isEqualTo(evacuated);
            assertThat(abandoned.requests()).isZero();
            assertThat(abandoned.channel().isOpen()).isFalse();
            assertThat(mRelay.connectingPort()).isNotZero().isNotEqualTo(evacuated);
            assertThat(connect().requests()).isEqualTo(1);
        }

        /** A request that was taken back must not exclude the replica after the evacuation. */
        @Test
        void getsARequestAgainThatWasTakenBackFromIt() {
            mRelay.onReplicas(List.of(entry(PORT_1, 1)));
            send(VirtualRequest.Kind.CHARGE);
            evacuate(Set.of("z1"));
            assertThat(connect().requests()).isZero();
            mRelay.advance(400);
            assertThat(mRelay.isConnecting()).isFalse();
            assertThat(mRelay.service().waiting()).isEqualTo(1);
            evacuate(Set.of());
            assertThat(mRelay.connectingPort()).isEqualTo(PORT_1);
            assertThat(connect().requests()).isEqualTo(1);
        }

        /** The entry may move to an evacuated zone while a connection is established. */
        @Test
        void getsNoRequestOverAConnectionOfAReplicaThatMovedThere() {
            mRelay.onReplicas(List.of(entry(PORT_1, 1)));
            evacuate(Set.of("z9"));
            send(VirtualRequest.Kind.CHARGE);
            final ReplicaEntry moved =
                    new ReplicaEntry("r1", "app", "127.0.0.1", PORT_1, "z9", SLOTS, false, 1);
            mRelay.onReplicas(List.of(moved, entry(PORT_2, 1)));
            assertThat(connect().requests()).isZero();
            assertThat(mRelay.connectingPort()).isEqualTo(PORT_2);
        }

        /** Slots that were counted for a request must be free when the zone is taken back. */
        @Test
        void countsNoSlotsOfRequestsThatWereTakenBack() {
            final List<VirtualCaller> callers = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                callers.add(send(VirtualRequest.Kind.LOOKUP));
            }
            evacuate(Set.of("z1", "z2"));
            assertThat(mRelay.service().replicas().all())
                    .allMatch(replica -> replica.ownInFlight() == 0);
            assertThat(mRelay.service().waiting()).isEqualTo(SLOTS);
            callers.forEach(caller -> caller.leave(true));
            mRelay.settle();
            assertThat(mRelay.service().active()).isZero();
        }
    }

    /** Covers a daemon that starts during an evacuation. */
    @Nested
    class AZoneThatIsEvacuatedAtTheStart {
        /** Requests wait for the first configuration, before which the evacuation is known. */
        @Test
        void getsNoneOfTheRequestsThatWaitForTheConfiguration() {
            final VirtualRelay relay = new VirtualRelay();
            relay.advance(1);
            for (int i = 0; i < SLOTS; i++) {
                relay.newCaller()
                        .send(relay.newRequest(VirtualRequest.Kind.CHARGE), DEADLINE_MILLIS);
            }
            relay.settle();
            relay.evacuate(Set.of("z1"));
            relay.onReplicas(List.of(entry(PORT_1, 1), entry(PORT_2, 1)));
            relay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
            relay.settle();
            for (int i = 0; i < SLOTS; i++) {
                assertThat(relay.connectingPort()).isEqualTo(PORT_2);
                relay.endConnect(true, false);
                relay.settle();
            }
        }
    }

    /** Covers what operators see. */
    @Nested
    class Metrics {
        @Test
        void countBeginsAndEndsAndRequestsThatWereTakenBack() throws Exception {
            final VirtualRelay relay = new VirtualRelay();
            relay.advance(1);
            relay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
            relay.onReplicas(List.of(entry(PORT_1, 1)));
            relay.newCaller().send(relay.newRequest(VirtualRequest.Kind.CHARGE), DEADLINE_MILLIS);
            relay.settle();
            relay.evacuate(Set.of("z1"));
            relay.evacuate(Set.of("z1", "z2"));
            relay.evacuate(Set.of("z2"));
            assertThat(relay.metrics())
                    .contains(
                            "persimmonreel_relay_zone_evacuations_total{event=\"evacuated\"} 2.0",
                            "persimmonreel_relay_zone_evacuations_total{event=\"taken-back\"} 1.0",
                            "persimmonreel_relay_resends_total{reason=\"evacuated\","
                                    + "upstream=\"app\"} 1.0");
        }
    }

    /** Covers a relay all of whose replicas are in one zone, over sockets. */
    @Nested
    class TheLastZone {
        private static double retryAfterSeconds(final String response) {
            return response.lines()
                    .filter(line -> line.toLowerCase(java.util.Locale.ROOT).startsWith("retry-a"))
                    .mapToDouble(line -> Double.parseDouble(line.substring(12).trim()))
                    .findFirst()
                    .orElse(0);
        }

        @Test
        void completesRunningResponses() throws Exception {
            try (RelayFixture relay = new RelayFixture(1);
                    Socket socket = relay.connect()) {
                final CountDownLatch mayRespond = new CountDownLatch(1);
                relay.replica(0)
                        .addScript(
                                e -> {
                                    mayRespond.await();
                                    respond(e, 200, "Connection: close\r\n", "whole");
                                });
                RelayFixture.send(socket, "POST", "/charge/1", ATTEMPT_HEADER, "x");
                RelayFixture.await(() -> runCount(relay, 1) == 1);
                relay.evacuate();
                mayRespond.countDown();
                assertThat(RelayFixture.readUntil(socket, "whole")).startsWith("HTTP/1.1 200");
            }
        }

        /** The rule holds though no other replica can be used. */
        @Test
        void refusesWithATimeToReturn() throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                relay.evacuate();
                final String response =
                        relay.request(
                                "POST",
                                "/charge/1",
                                ATTEMPT_HEADER + "Persimmonreel-Deadline: 400\r\n",
                                "x");
                assertThat(response).startsWith("HTTP/1.1 503");
                assertThat(retryAfterSeconds(response)).isPositive();
                assertThat(runCount(relay, 2)).isZero();
            }
        }

        @Test
        void servesRequestsThatWaitForItsEnd() throws Exception {
            try (RelayFixture relay = new RelayFixture(1);
                    Socket socket = relay.connect()) {
                relay.replica(0).addScript(e -> respond(e, 200, "whole"));
                relay.evacuate();
                RelayFixture.send(socket, "POST", "/charge/1", ATTEMPT_HEADER, "x");
                relay.takeBack();
                assertThat(RelayFixture.readUntil(socket, "whole")).startsWith("HTTP/1.1 200");
            }
        }
    }
}
