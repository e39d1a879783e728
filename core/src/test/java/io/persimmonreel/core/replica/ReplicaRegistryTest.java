package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
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

    /** Covers what a start of a replica said about taking requests. */
    @Nested
    class Availability {
        private static final long LAST_RESORT_NANOS = 10;

        private void leave() {
            mRegistry.replace(List.of(entry("a", 1, false, 5)));
            replica().availability().onLeaving(LAST_RESORT_NANOS, 0);
        }

        private Replica replica() {
            return mRegistry.find("a").orElseThrow();
        }

        @Test
        void staysWhenTheEntryIsWrittenAgainAsReady() {
            leave();
            mRegistry.replace(List.of(entry("a", 1, true, 5)));
            mRegistry.replace(List.of(entry("a", 1, false, 5)));
            assertThat(replica().isOpen(0)).isFalse();
        }

        /** Guards against a leaving replica that is used again after an outage of the directory. */
        @Test
        void staysWhenTheEntryIsGoneForAWhile() {
            leave();
            mRegistry.replace(List.of());
            mRegistry.replace(List.of(entry("a", 1, false, 5)));
            assertThat(replica().isOpen(0)).isFalse();
        }

        @Test
        void endsWithTheNextStart() {
            leave();
            mRegistry.replace(List.of(entry("a", 1, false, 6)));
            assertThat(replica().isOpen(0)).isTrue();
        }

        @Test
        void isNotTakenOverByAnotherReplicaAtTheAddress() {
            leave();
            mRegistry.replace(List.of(entry("b", 1, false, 5)));
            assertThat(mRegistry.find("b").orElseThrow().isOpen(0)).isTrue();
        }

        /** A later start can't be told from the one that was leaving. */
        @Test
        void endsWithTheEntryIfTheStartIsUnknown() {
            mRegistry.replace(List.of(entry("a", 1, false, 0)));
            replica().availability().onLeaving(LAST_RESORT_NANOS, 0);
            mRegistry.replace(List.of());
            mRegistry.replace(List.of(entry("a", 1, false, 0)));
            assertThat(replica().isOpen(0)).isTrue();
        }
    }
}
