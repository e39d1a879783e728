package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerSelectorTest {
    private static final int LARGE_FLEET_SIZE = 60;

    private static String addressText(final int number) {
        return "127.0.0." + number + ":9000";
    }

    private static InetSocketAddress address(final int number) {
        return new InetSocketAddress("127.0.0." + number, 9_000);
    }

    private static PeerSelector selector(final int self, final int members) {
        final PeerSelector selector = new PeerSelector(address(self), List.of());
        final Set<String> known = new HashSet<>();
        for (int i = 1; i <= members; i++) {
            if (i != self) {
                known.add(addressText(i));
            }
        }
        selector.onMembers(known);
        return selector;
    }

    @Nested
    class InASmallFleet {
        /** Two daemons that connect to each other at the same time would keep two connections. */
        @Test
        void onlyOneOfTwoDaemonsConnects() {
            assertThat(selector(1, 2).addressesToConnect(List.of())).isEmpty();
            assertThat(selector(2, 2).addressesToConnect(List.of())).containsExactly(address(1));
        }

        @Test
        void doesNotConnectToConnectedPeersOrItself() {
            final PeerSelector selector =
                    new PeerSelector(address(1), List.of(address(1), address(2)));
            assertThat(selector.addressesToConnect(List.of())).containsExactly(address(2));
            assertThat(selector.addressesToConnect(List.of(addressText(2)))).isEmpty();
        }

        @Test
        void needsEveryConnection() {
            assertThat(selector(1, 3).isConnectionNeeded("")).isTrue();
        }
    }

    @Nested
    class InALargeFleet {
        /** If leaves kept all connections, each daemon would be connected to the whole fleet. */
        @Test
        void leavesConnectToTheirHubsOnly() {
            final List<PeerSelector> leaves = new ArrayList<>();
            for (int i = 1; i <= LARGE_FLEET_SIZE; i++) {
                final PeerSelector selector = selector(i, LARGE_FLEET_SIZE);
                if (selector.isLeaf()) {
                    leaves.add(selector);
                }
            }
            assertThat(leaves).isNotEmpty();
            for (final PeerSelector leaf : leaves) {
                long needed = 0;
                for (int i = 1; i <= LARGE_FLEET_SIZE; i++) {
                    needed +=
                            leaf.isOther(addressText(i)) && leaf.isConnectionNeeded(addressText(i))
                                    ? 1
                                    : 0;
                }
                assertThat(needed).isEqualTo(2);
                assertThat(leaf.addressesToConnect(List.of())).hasSize(2);
            }
        }

        /**
         * Both hubs of a leaf report the quota use of the whole fleet. A leaf that adds both
         * reports counts all use twice and refuses customers that are within their quota.
         */
        @Test
        void leavesExchangeWorkWithOneHubOnly() {
            int leaves = 0;
            for (int i = 1; i <= LARGE_FLEET_SIZE; i++) {
                final PeerSelector selector = selector(i, LARGE_FLEET_SIZE);
                if (selector.isLeaf()) {
                    leaves++;
                    final List<String> hubs = selector.topology().ownHubs();
                    assertThat(selector.workPeers(hubs)).containsExactly(hubs.get(0));
                    assertThat(selector.workPeers(hubs.subList(1, 2))).containsExactly(hubs.get(1));
                } else {
                    assertThat(selector.workPeers(List.of(addressText(1), addressText(2))))
                            .hasSize(2);
                }
            }
            assertThat(leaves).isPositive();
        }

        /** Seeds are for daemons without peers; they are not additional permanent connections. */
        @Test
        void seedsAreUsedOnlyWithoutPeers() {
            final PeerSelector selector = selector(1, LARGE_FLEET_SIZE);
            selector.addSeeds(List.of(new InetSocketAddress("127.0.1.1", 9_000)));
            assertThat(selector.addressesToConnect(List.of()))
                    .contains(new InetSocketAddress("127.0.1.1", 9_000));
            assertThat(selector.addressesToConnect(List.of(addressText(2))))
                    .doesNotContain(new InetSocketAddress("127.0.1.1", 9_000));
        }
    }

    @Test
    void recognizesAddressesOfOtherDaemons() {
        assertThat(selector(1, 1).isOther("nowhere")).isFalse();
        assertThat(selector(1, 1).isOther(addressText(1))).isFalse();
        assertThat(selector(1, 1).isOther(addressText(2))).isTrue();
    }
}
