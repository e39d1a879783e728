package io.persimmonreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HubTopologyTest {
    private static List<String> addresses(final int count) {
        final List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add("10.0." + i / 200 + "." + i % 200 + ":7000");
        }
        return addresses;
    }

    private static List<HubTopology> topologies(final List<String> fleet) {
        return fleet.stream().map(self -> new HubTopology(self, fleet)).toList();
    }

    @Test
    void isAMeshInASmallFleet() {
        final List<String> fleet = addresses(HubTopology.MAXIMUM_MESH_DAEMONS);
        for (final HubTopology topology : topologies(fleet)) {
            assertThat(topology.isMesh()).isTrue();
            assertThat(topology.links()).hasSize(fleet.size() - 1);
        }
    }

    /** Of 87 daemons 10 are hubs, every leaf has two hubs, and all agree on who is a hub. */
    @Test
    void hasHubsAndLeavesInALargeFleet() {
        final List<String> fleet = addresses(87);
        final List<HubTopology> all = topologies(fleet);
        assertThat(all.stream().filter(HubTopology::isHub)).hasSize(10);
        for (final HubTopology topology : all) {
            assertThat(topology.links()).hasSize(topology.isHub() ? 9 : 2);
            for (int i = 0; i < fleet.size(); i++) {
                assertThat(topology.isHub(fleet.get(i))).isEqualTo(all.get(i).isHub());
            }
        }
    }

    /** Guards against a daemon whose connections grow faster than the square root of the fleet. */
    @Test
    void boundsTheConnectionsOfADaemon() {
        final List<String> fleet = addresses(880);
        final List<HubTopology> all = topologies(fleet);
        int most = 0;
        for (int i = 0; i < fleet.size(); i++) {
            final String address = fleet.get(i);
            int connections = all.get(i).isHub() ? 29 : 2;
            for (final HubTopology other : all) {
                connections += !other.isHub() && other.links().contains(address) ? 1 : 0;
            }
            most = Math.max(most, connections);
        }
        assertThat(most).isLessThan(4 * (int) Math.sqrt(880));
    }

    /** Guards against a leaf that gets no digests when its first hub is silent. */
    @Test
    void usesTheSecondHubIfTheFirstIsSilent() {
        final List<String> fleet = addresses(40);
        final HubTopology leaf =
                topologies(fleet).stream().filter(t -> !t.isHub()).findFirst().orElseThrow();
        final List<String> hubs = leaf.ownHubs();
        assertThat(leaf.hubInUse(hubs)).contains(hubs.get(0));
        assertThat(leaf.hubInUse(Set.of(hubs.get(1)))).contains(hubs.get(1));
        assertThat(leaf.hubInUse(Set.of())).isEmpty();
    }
}
