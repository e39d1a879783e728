package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetDivisionTest {
    private static final String UPSTREAM = "engine";

    private final FleetDivision mDivision = new FleetDivision("b");
    private final List<ReplicaEntry> mEntries = new ArrayList<>();
    private final ReplicaRegistry mReplicas = new ReplicaRegistry();

    private SlotShares slots(final int reachable, final String... others) {
        return mDivision.slots(List.of(others), reachable, mReplicas.byUpstream());
    }

    private void put(final String id, final int slots) {
        mEntries.removeIf(entry -> entry.id().equals(id));
        mEntries.add(entry(id, slots));
        mReplicas.replace(mEntries);
    }

    private static ReplicaEntry entry(final String id, final int slots) {
        return new ReplicaEntry(
                id, UPSTREAM, "10.0.0.1", 80, "zone-of-" + id, slots, false, 0, 0, "");
    }

    @Nested
    class Slots {
        /** Guards against a division at each interval, whose cost grows with the fleet. */
        @Test
        void areNotDividedAnewWithoutAChange() {
            put("r1", 6);
            put("r2", 6);
            final SlotShares before = slots(2, "a");
            assertThat(slots(2, "a")).isSameAs(before);
        }

        @Test
        void areDividedAnewForAnotherDaemon() {
            put("r1", 6);
            put("r2", 6);
            final SlotShares before = slots(2, "a");
            final SlotShares after = slots(3, "a", "c");
            assertThat(own(before)).isEqualTo(6);
            assertThat(own(after)).isEqualTo(4);
        }

        @Test
        void areDividedAnewForAnotherReplica() {
            put("r1", 6);
            slots(2, "a");
            put("r2", 6);
            assertThat(own(slots(2, "a"))).isEqualTo(6);
        }

        @Test
        void areDividedAnewForOtherSlotsOfAReplica() {
            put("r1", 6);
            slots(2, "a");
            put("r1", 12);
            assertThat(own(slots(2, "a"))).isEqualTo(6);
        }

        @Test
        void areDividedAnewForAWithdrawnReplica() {
            put("r1", 6);
            put("r2", 6);
            slots(2, "a");
            mReplicas.evacuate(Set.of("zone-of-r1"));
            assertThat(own(slots(2, "a"))).isEqualTo(3);
        }

        @Test
        void ofDaemonsThatFallSilentGoToTheOthers() {
            put("r1", 6);
            assertThat(own(slots(2, "a"))).isEqualTo(3);
            assertThat(own(slots(1, "a"))).isEqualTo(6);
        }

        private int own(final SlotShares shares) {
            return mReplicas.all().stream().mapToInt(shares::slots).sum();
        }
    }

    @Nested
    class Rates {
        @Test
        void areNotDividedAnewWithoutAChange() {
            assertThat(mDivision.rates(List.of("a"), 2)).isSameAs(mDivision.rates(List.of("a"), 2));
        }

        @Test
        void areDividedAnewForAnotherDaemon() {
            assertThat(mDivision.rates(List.of("a"), 2).share(1, 100)).isEqualTo(1.0 / 2);
            assertThat(mDivision.rates(List.of("a", "c"), 2).share(1, 100)).isEqualTo(1.0 / 3);
        }
    }
}
