package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerLinksTest {
    private static final int LARGE_FLEET = 60;

    private static String name(final int number) {
        return "127.0.0." + number + ":9000";
    }

    private static InetSocketAddress address(final int number) {
        return new InetSocketAddress("127.0.0." + number, 9_000);
    }

    private static PeerLinks links(final int self, final int members) {
        final PeerLinks links = new PeerLinks(address(self), List.of());
        final Set<String> known = new HashSet<>();
        for (int i = 1; i <= members; i++) {
            if (i != self) {
                known.add(name(i));
            }
        }
        links.onMembers(known);
        return links;
    }

    @Nested
    class InASmallFleet {
        /** Two daemons that dial each other at once would keep two connections. */
        @Test
        void eachPairHasOneDialler() {
            assertThat(links(1, 2).missing(List.of())).isEmpty();
            assertThat(links(2, 2).missing(List.of())).containsExactly(address(1));
        }

        @Test
        void doesNotDialConnectedPeersOrItself() {
            final PeerLinks links = new PeerLinks(address(1), List.of(address(1), address(2)));
            assertThat(links.missing(List.of())).containsExactly(address(2));
            assertThat(links.missing(List.of(name(2)))).isEmpty();
        }

        @Test
        void needsEveryConnection() {
            assertThat(links(1, 3).isNeeded("")).isTrue();
        }
    }

    @Nested
    class InALargeFleet {
        /** A fleet whose leaves keep all connections would cost each daemon the whole fleet. */
        @Test
        void leavesKeepTheirHubsOnly() {
            final List<PeerLinks> leaves = new ArrayList<>();
            for (int i = 1; i <= LARGE_FLEET; i++) {
                final PeerLinks links = links(i, LARGE_FLEET);
                if (links.isLeaf()) {
                    leaves.add(links);
                }
            }
            assertThat(leaves).isNotEmpty();
            for (final PeerLinks leaf : leaves) {
                long needed = 0;
                for (int i = 1; i <= LARGE_FLEET; i++) {
                    needed += leaf.isOther(name(i)) && leaf.isNeeded(name(i)) ? 1 : 0;
                }
                assertThat(needed).isEqualTo(2);
                assertThat(leaf.missing(List.of())).hasSize(2);
            }
        }

        /**
         * Both hubs of a leaf report the use of the whole fleet; a leaf that takes both reports
         * counts all use twice and refuses customers within their quota.
         */
        @Test
        void leavesTakeTheReportsOfOneHub() {
            int leaves = 0;
            for (int i = 1; i <= LARGE_FLEET; i++) {
                final PeerLinks links = links(i, LARGE_FLEET);
                if (links.isLeaf()) {
                    leaves++;
                    final List<String> hubs = links.topology().ownHubs();
                    assertThat(links.counting(hubs)).containsExactly(hubs.get(0));
                    assertThat(links.counting(hubs.subList(1, 2))).containsExactly(hubs.get(1));
                } else {
                    assertThat(links.counting(List.of(name(1), name(2)))).hasSize(2);
                }
            }
            assertThat(leaves).isPositive();
        }

        /** Seeds are a way in for a daemon without peers, not further links. */
        @Test
        void seedsAreDialledOnlyWithoutPeers() {
            final PeerLinks links = links(1, LARGE_FLEET);
            links.addSeeds(List.of(new InetSocketAddress("127.0.1.1", 9_000)));
            assertThat(links.missing(List.of()))
                    .contains(new InetSocketAddress("127.0.1.1", 9_000));
            assertThat(links.missing(List.of(name(2))))
                    .doesNotContain(new InetSocketAddress("127.0.1.1", 9_000));
        }
    }

    @Test
    void refusesTextThatIsNoAddress() {
        assertThat(links(1, 1).isOther("nowhere")).isFalse();
        assertThat(links(1, 1).isOther(name(1))).isFalse();
        assertThat(links(1, 1).isOther(name(2))).isTrue();
    }
}
