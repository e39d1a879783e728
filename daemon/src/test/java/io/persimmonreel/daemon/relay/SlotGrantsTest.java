package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.membership.HubTopology;
import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.core.peer.PeerMessage.SlotTransfer;
import io.persimmonreel.core.peer.SlotClaim;
import io.persimmonreel.core.peer.SlotGrant;
import io.persimmonreel.core.peer.SlotRelease;
import io.persimmonreel.core.peer.SlotUse;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a relay in a fleet with hubs, one daemon of which is scripted and the rest silent. */
class SlotGrantsTest {
    private static final int OTHERS = 20;
    private static final int POOL = 10_000;
    private static final int SLOTS = 4;
    private static final int REQUESTS = 40;
    private static final String UPSTREAM = "app";

    /** Returns addresses at which nothing accepts connections. */
    private static Set<String> addresses() {
        return IntStream.range(0, POOL)
                .mapToObj(i -> "127.1." + i / 250 + "." + i % 250 + ":1")
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns other daemons that precede the relay, so that it is a leaf. */
    private static List<String> othersOfLeaf(final RelayFixture relay) {
        final Set<String> pool = addresses();
        final HubTopology topology = new HubTopology(name(relay), pool);
        return pool.stream().filter(topology::isHub).toList();
    }

    /** Returns other daemons that the relay precedes, so that it is a hub. */
    private static List<String> othersOfHub(final RelayFixture relay) {
        final Set<String> pool = addresses();
        boolean isFirst = false;
        while (!isFirst) {
            final HubTopology topology = new HubTopology(name(relay), pool);
            isFirst = topology.isHub();
            pool.removeIf(topology::isHub);
        }
        return pool.stream().limit(OTHERS).toList();
    }

    private static String name(final RelayFixture relay) {
        return PeerSelector.format(relay.peerAddress());
    }

    private static void introduce(
            final RelayFixture relay,
            final ScriptedPeer peer,
            final String address,
            final List<String> members,
            final String role)
            throws InterruptedException {
        final RelayDigest digest =
                new RelayDigest(address, false, 20, members, DirectoryVersion.NONE, 0, List.of());
        peer.send(digest);
        RelayFixture.await(() -> relay.log().contains("\"role\":\"" + role + "\""));
        peer.send(digest);
    }

    private static CompletableFuture<String> lookup(final RelayFixture relay) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return relay.request("GET", "/lookup/1", ATTEMPT_HEADER, "");
                    } catch (final IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private static void addScripts(final ScriptedUpstream replica) {
        for (int i = 0; i < REQUESTS; i++) {
            replica.addScript(exchange -> respond(exchange, 200, "", "done"));
        }
    }

    private static <T> List<T> received(
            final ScriptedPeer peer, final Function<SlotTransfer, List<T>> part) {
        final List<T> all = new ArrayList<>();
        peer.received(SlotTransfer.class).forEach(transfer -> all.addAll(part.apply(transfer)));
        return all;
    }

    private static SlotTransfer claims(final SlotClaim... claims) {
        return new SlotTransfer(List.of(claims), List.of(), List.of(), List.of());
    }

    @Nested
    class ALeaf {
        /** Guards against a body that is sent before its slot is granted. */
        @Test
        void sendsARequestWhereItsHubGrantsASlotAndReleasesIt() throws Exception {
            try (RelayFixture relay = new RelayFixture(2);
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                addScripts(relay.replica(0));
                addScripts(relay.replica(1));
                final List<Integer> sentBefore = new CopyOnWriteArrayList<>();
                peer.respondWith(
                        message -> {
                            if (message instanceof SlotTransfer transfer) {
                                sentBefore.add(relay.replica(1).requestLines().size());
                                grantAtSecond(peer, transfer.claims());
                            }
                        });
                introduceAsHub(relay, peer);
                // A busy machine may take longer for an answer than the relay waits.
                for (int i = 0; i < REQUESTS && releases(peer).isEmpty(); i++) {
                    assertThat(lookup(relay).join()).startsWith("HTTP/1.1 200");
                    TimeUnit.MILLISECONDS.sleep(50);
                }
                final SlotRelease release = releases(peer).get(0);
                assertThat(release.replica()).isEqualTo("r1");
                assertThat(release.runMicros()).isPositive();
                assertThat(sentBefore.get(0)).isZero();
            }
        }

        private void grantAtSecond(final ScriptedPeer peer, final List<SlotClaim> claims) {
            final List<SlotGrant> grants =
                    claims.stream()
                            .map(c -> new SlotGrant(c.origin(), c.number(), UPSTREAM, "r1", 0))
                            .toList();
            peer.send(new SlotTransfer(List.of(), List.of(), List.of(), grants));
        }

        /** Returns the releases of claimed slots at which a request was served. */
        private List<SlotRelease> releases(final ScriptedPeer peer) {
            final List<Long> claims =
                    received(peer, SlotTransfer::claims).stream().map(SlotClaim::number).toList();
            return received(peer, SlotTransfer::releases).stream()
                    .filter(r -> claims.contains(r.number()) && r.runMicros() > 0)
                    .toList();
        }

        /** Guards against requests that wait for a granter which does not answer. */
        @Test
        void placesRequestsByItselfIfItsHubDoesNotAnswer() throws Exception {
            try (RelayFixture relay = new RelayFixture(1);
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                addScripts(relay.replica(0));
                introduceAsHub(relay, peer);
                assertThat(lookup(relay).join()).startsWith("HTTP/1.1 200");
                RelayFixture.await(() -> relay.log().contains("\"event\":\"unanswered\""));
                final int claims = received(peer, SlotTransfer::claims).size();
                assertThat(lookup(relay).join()).startsWith("HTTP/1.1 200");
                assertThat(received(peer, SlotTransfer::claims)).hasSize(claims);
            }
        }

        private void introduceAsHub(final RelayFixture relay, final ScriptedPeer peer)
                throws InterruptedException {
            final List<String> others = othersOfLeaf(relay);
            final String hub = new HubTopology(name(relay), others).ownHubs().get(0);
            introduce(relay, peer, hub, others, "leaf");
        }
    }

    @Nested
    class AHub {
        @Test
        void grantsSlotsToLeavesAndCountsThoseInUse() throws Exception {
            try (RelayFixture relay = new RelayFixture(1);
                    ScriptedPeer peer = new ScriptedPeer(relay, 1)) {
                final List<String> others = othersOfHub(relay);
                final HubTopology topology = new HubTopology(name(relay), others);
                final String leaf =
                        others.stream().filter(o -> !topology.isHub(o)).findFirst().orElseThrow();
                introduce(relay, peer, leaf, others, "hub");
                for (int number = 1; number <= SLOTS; number++) {
                    peer.send(
                            new SlotTransfer(
                                    List.of(),
                                    List.of(),
                                    List.of(new SlotUse(leaf, UPSTREAM, number, "r0")),
                                    List.of()));
                }
                peer.send(claims(new SlotClaim(leaf, UPSTREAM, 99, 0, 900, 900, List.of())));
                RelayFixture.await(() -> !received(peer, SlotTransfer::grants).isEmpty());
                assertThat(received(peer, SlotTransfer::grants).get(0).replica()).isEmpty();
                peer.send(
                        new SlotTransfer(
                                List.of(),
                                List.of(new SlotRelease(leaf, UPSTREAM, 1, "r0", 0)),
                                List.of(),
                                List.of()));
                final SlotGrant grant = new SlotGrant(leaf, 99, UPSTREAM, "r0", 0);
                RelayFixture.await(() -> received(peer, SlotTransfer::grants).contains(grant));
            }
        }
    }
}
