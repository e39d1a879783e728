package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SpareCapacityTest {
    private final SpareCapacity mSpareCapacity = new SpareCapacity();

    private static Replica replica(final String id, final boolean draining, final int peerLoad) {
        final Replica replica =
                new Replica(new ReplicaEntry(id, "llm", "127.0.0.1", 1, "zone", 10, draining, 1));
        replica.onPeerLoad(peerLoad, 0);
        return replica;
    }

    @Nested
    class HasRoom {
        @Test
        void isTrueWhileSlotsAreFree() {
            assertThat(
                            mSpareCapacity.hasRoom(
                                    List.of(replica("a", false, 10), replica("b", false, 2)), 0))
                    .isTrue();
        }

        @Test
        void isFalseIfTheReplicasAreNearlyFull() {
            assertThat(
                            mSpareCapacity.hasRoom(
                                    List.of(replica("a", false, 10), replica("b", false, 8)), 0))
                    .isFalse();
        }

        @Test
        void ignoresDrainingReplicas() {
            assertThat(
                            mSpareCapacity.hasRoom(
                                    List.of(replica("a", false, 10), replica("b", true, 0)), 0))
                    .isFalse();
        }

        @Test
        void ignoresEvacuatedReplicas() {
            final ReplicaRegistry registry = new ReplicaRegistry();
            registry.replace(List.of(replica("a", false, 0).entry()));
            assertThat(mSpareCapacity.hasRoom(registry.all(), 0)).isTrue();
            registry.evacuate(Set.of("zone"));
            assertThat(mSpareCapacity.hasRoom(registry.all(), 0)).isFalse();
        }

        @Test
        void isFalseWithoutReplicas() {
            assertThat(mSpareCapacity.hasRoom(List.of(), 0)).isFalse();
        }
    }
}
