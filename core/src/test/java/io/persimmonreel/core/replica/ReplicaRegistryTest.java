package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicaRegistryTest {
    private final ReplicaRegistry mRegistry = new ReplicaRegistry();

    private static ReplicaEntry entry(
            final String id, final int port, final boolean draining, final long started) {
        return new ReplicaEntry(id, "app", "10.0.0.1", port, "zone", 4, draining, started);
    }

    @Test
    void keepsReplicaWhoseEntryChanges() {
        mRegistry.replace(List.of(entry("a", 1, false, 5)));
        mRegistry.find("a").orElseThrow().onSent(10);
        mRegistry.replace(List.of(entry("a", 1, true, 5)));
        final Replica replica = mRegistry.find("a").orElseThrow();
        assertThat(replica.ownInFlight()).isEqualTo(1);
        assertThat(replica.entry().draining()).isTrue();
    }

    /** A replica that restarts under its id has none of its earlier requests or measurements. */
    @Test
    void replacesReplicaThatRestarted() {
        mRegistry.replace(List.of(entry("a", 1, false, 5)));
        final Replica before = mRegistry.find("a").orElseThrow();
        mRegistry.replace(List.of(entry("a", 1, false, 6)));
        assertThat(mRegistry.find("a").orElseThrow()).isNotSameAs(before);
    }

    @Test
    void removesReplicasWithoutEntry() {
        mRegistry.replace(List.of(entry("a", 1, false, 5), entry("b", 2, false, 5)));
        mRegistry.replace(List.of(entry("b", 2, false, 5)));
        assertThat(mRegistry.find("a")).isEmpty();
        assertThat(mRegistry.ofUpstream("app")).hasSize(1);
        assertThat(mRegistry.ofUpstream("other")).isEmpty();
    }
}
