package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicaSetTest {
    private final ReplicaRegistry mSet = new ReplicaRegistry();

    private static ReplicaEntry entry(
            final String id, final int port, final boolean draining, final long started) {
        return new ReplicaEntry(id, "app", "10.0.0.1", port, "zone", 4, draining, started);
    }

    @Test
    void keepsReplicaWhoseEntryChanges() {
        mSet.replace(List.of(entry("a", 1, false, 5)));
        mSet.find("a").orElseThrow().onSent(10);
        mSet.replace(List.of(entry("a", 1, true, 5)));
        final Replica replica = mSet.find("a").orElseThrow();
        assertThat(replica.ownInFlight()).isEqualTo(1);
        assertThat(replica.entry().draining()).isTrue();
    }

    /** A replica that restarts under its id has none of its earlier requests or measurements. */
    @Test
    void replacesReplicaThatRestarted() {
        mSet.replace(List.of(entry("a", 1, false, 5)));
        final Replica before = mSet.find("a").orElseThrow();
        mSet.replace(List.of(entry("a", 1, false, 6)));
        assertThat(mSet.find("a").orElseThrow()).isNotSameAs(before);
    }

    @Test
    void removesReplicasWithoutEntry() {
        mSet.replace(List.of(entry("a", 1, false, 5), entry("b", 2, false, 5)));
        mSet.replace(List.of(entry("b", 2, false, 5)));
        assertThat(mSet.find("a")).isEmpty();
        assertThat(mSet.ofUpstream("app")).hasSize(1);
        assertThat(mSet.ofUpstream("other")).isEmpty();
    }
}
