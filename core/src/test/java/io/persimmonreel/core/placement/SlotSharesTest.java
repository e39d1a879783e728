package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SlotSharesTest {
    private static final int DAEMONS = 20;
    private static final int SLOTS = 10;
    private final List<Replica> mReplicas = new ArrayList<>();
    private final List<String> mDaemons = new ArrayList<>();

    SlotSharesTest() {
        for (int i = 0; i < 7; i++) {
            mReplicas.add(replica("r" + i, false));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add("d" + i);
        }
    }

    private static Replica replica(final String id, final boolean draining) {
        return new Replica(new ReplicaEntry(id, "llm", "10.0.0.1", 1, "z", SLOTS, draining, 1));
    }

    private SlotShares divide(final String self, final int reachable) {
        return SlotShares.divide(self, mDaemons, reachable, Map.of("llm", mReplicas));
    }

    private int totalSlots(final SlotShares shares) {
        return mReplicas.stream().mapToInt(shares::slots).sum();
    }

    /** A slot with two owners is used twice; one without an owner stays free under overload. */
    @Test
    void eachSlotHasOneOwner() {
        final List<SlotShares> all = mDaemons.stream().map(self -> divide(self, DAEMONS)).toList();
        for (final Replica replica : mReplicas) {
            assertThat(all.stream().mapToInt(shares -> shares.slots(replica)).sum())
                    .isEqualTo(SLOTS);
        }
        assertThat(all).allSatisfy(shares -> assertThat(totalSlots(shares)).isBetween(3, 4));
    }

    /** A daemon with all its slots at one replica would stall when that replica is slow or down. */
    @Test
    void spreadsSlotsOfADaemonOverReplicas() {
        final SlotShares shares = divide("d3", DAEMONS);
        assertThat(mReplicas).allSatisfy(r -> assertThat(shares.slots(r)).isLessThanOrEqualTo(1));
    }

    /**
     * Otherwise the slots of a silent daemon would stay free until it is removed from the members.
     */
    @Test
    void takesOverTheSlotsOfSilentDaemons() {
        for (final String self : mDaemons) {
            assertThat(totalSlots(divide(self, DAEMONS / 2))).as(self).isBetween(6, 8);
        }
    }

    @Test
    void excludesDrainingReplicas() {
        mReplicas.add(replica("leaving", true));
        for (final String self : mDaemons) {
            assertThat(divide(self, DAEMONS).slots(mReplicas.get(7))).isZero();
        }
    }

    /** Guards against slots of a zone that stay without an owner after it is taken back. */
    @Test
    void excludesAnEvacuatedZoneUntilItIsTakenBack() {
        final ReplicaRegistry registry = new ReplicaRegistry();
        registry.replace(
                List.of(
                        new ReplicaEntry("a", "llm", "10.0.0.1", 1, "z1", 40, false, 1),
                        new ReplicaEntry("b", "llm", "10.0.0.2", 1, "z2", 40, false, 1)));
        final Replica evacuated = registry.find("a").orElseThrow();
        for (final String self : mDaemons) {
            registry.evacuate(Set.of());
            final int before = divide(self, registry).slots(evacuated);
            registry.evacuate(Set.of("z1"));
            assertThat(divide(self, registry).slots(evacuated)).isZero();
            registry.evacuate(Set.of());
            assertThat(divide(self, registry).slots(evacuated)).isEqualTo(before).isPositive();
        }
    }

    private SlotShares divide(final String self, final ReplicaRegistry registry) {
        return SlotShares.divide(self, mDaemons, DAEMONS, registry.byUpstream());
    }

    /**
     * With fewer than two slots per daemon, most requests would find no free slot of their daemon.
     */
    @Test
    void doesNotDivideTooFewSlots() {
        final SlotShares shares =
                SlotShares.divide("d0", mDaemons, DAEMONS, Map.of("llm", mReplicas.subList(0, 3)));
        assertThat(shares.isDivided("llm")).isFalse();
        assertThat(divide("d0", DAEMONS).isDivided("llm")).isTrue();
    }

    @Test
    void requestInFlightUsesItsSlot() {
        final SlotShares shares = divide("d0", DAEMONS);
        final Replica own =
                mReplicas.stream().filter(r -> shares.slots(r) == 1).findFirst().orElseThrow();
        assertThat(shares.hasFreeSlot(own)).isTrue();
        own.onSent(0);
        assertThat(shares.hasFreeSlot(own)).isFalse();
    }
}
