package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
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

    /** Covers availability zones that are evacuated and taken back. */
    @Nested
    class Evacuation {
        private boolean isOpen(final String id) {
            return mRegistry.find(id).orElseThrow().isOpen(0);
        }

        private static ReplicaEntry entry(final String id, final String zone, final long started) {
            return new ReplicaEntry(id, "app", "10.0.0.1", 1, zone, 4, false, started);
        }

        @Test
        void holdsForTheReplicasOfTheZoneOnly() {
            mRegistry.replace(List.of(entry("a", "z1", 5), entry("b", "z2", 5)));
            mRegistry.evacuate(Set.of("z1"));
            assertThat(isOpen("a")).isFalse();
            assertThat(mRegistry.find("a").orElseThrow().waitMillis(0)).isInfinite();
            assertThat(isOpen("b")).isTrue();
            assertThat(mRegistry.evacuatedZones()).containsExactly("z1");
        }

        /** Guards against requests to a replica that starts or restarts during an evacuation. */
        @Test
        void holdsForReplicasThatStartLater() {
            mRegistry.evacuate(Set.of("z1"));
            mRegistry.replace(List.of(entry("a", "z1", 5)));
            assertThat(isOpen("a")).isFalse();
            mRegistry.replace(List.of(entry("a", "z1", 6), entry("c", "z1", 6)));
            assertThat(isOpen("a")).isFalse();
            assertThat(isOpen("c")).isFalse();
        }

        /** An entry may be gone in an outage of the directory and come back. */
        @Test
        void holdsForAReplicaWhoseEntryComesBack() {
            mRegistry.replace(List.of(entry("a", "z1", 5)));
            mRegistry.evacuate(Set.of("z1"));
            mRegistry.replace(List.of());
            mRegistry.replace(List.of(entry("a", "z1", 5)));
            assertThat(isOpen("a")).isFalse();
        }

        @Test
        void followsTheZoneOfTheEntry() {
            mRegistry.evacuate(Set.of("z1"));
            mRegistry.replace(List.of(entry("a", "z2", 5)));
            assertThat(isOpen("a")).isTrue();
            mRegistry.replace(List.of(entry("a", "z1", 5)));
            assertThat(isOpen("a")).isFalse();
        }

        /** Callers get a time to return only if an evacuation is what they wait for. */
        @Test
        void isAwaitedIfNoOtherReplicaIsLeft() {
            mRegistry.replace(List.of(entry("a", "z1", 5), entry("b", "z2", 5)));
            assertThat(mRegistry.awaitsEvacuationEnd("app", 0)).isFalse();
            mRegistry.evacuate(Set.of("z1"));
            assertThat(mRegistry.awaitsEvacuationEnd("app", 0)).isFalse();
            mRegistry.find("b").orElseThrow().availability().onLeaving(1, 0);
            assertThat(mRegistry.awaitsEvacuationEnd("app", 0)).isTrue();
            mRegistry.evacuate(Set.of());
            assertThat(mRegistry.awaitsEvacuationEnd("app", 0)).isFalse();
            assertThat(mRegistry.awaitsEvacuationEnd("none", 0)).isFalse();
        }

        /** What the replica said about taking requests still holds after the end. */
        @Test
        void endsWithoutOtherChanges() {
            mRegistry.replace(List.of(entry("a", "z1", 5), entry("b", "z1", 5)));
            final Replica before = mRegistry.find("a").orElseThrow();
            mRegistry.find("b").orElseThrow().availability().onLeaving(1, 0);
            mRegistry.evacuate(Set.of("z1"));
            mRegistry.evacuate(Set.of());
            assertThat(mRegistry.find("a").orElseThrow()).isSameAs(before);
            assertThat(isOpen("a")).isTrue();
            assertThat(isOpen("b")).isFalse();
        }
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
