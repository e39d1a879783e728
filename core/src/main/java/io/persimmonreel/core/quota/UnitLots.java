package io.persimmonreel.core.quota;

import io.persimmonreel.core.peer.PeerMessage.UnitGrant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Converts lots of units to and from the grants of messages. */
final class UnitLots {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private UnitLots() {}

    /** Returns the sum of the units of several lots. */
    static long sum(final List<UnitLot> lots) {
        return lots.stream().mapToLong(UnitLot::units).sum();
    }

    /**
     * Combines lots that were taken from one stock.
     *
     * @param customer the customer's name
     * @param lots the lots by their time of expiry, the first or the last one first, each at
     *     another one; not empty
     * @param nowNanos the current monotonic time in nanoseconds
     * @return one grant of all units, in the same order
     * @throws IllegalArgumentException if the lots are not in order
     */
    static UnitGrant toGrant(final String customer, final List<UnitLot> lots, final long nowNanos) {
        final long first = lots.get(0).expiryNanos();
        final boolean isAscending = first <= lots.get(lots.size() - 1).expiryNanos();
        final List<Long> units = new ArrayList<>();
        for (final UnitLot lot : lots) {
            final boolean isInOrder =
                    isAscending ? lot.expiryNanos() >= first : lot.expiryNanos() <= first;
            final long steps = Math.abs(lot.expiryNanos() - first) / UnitStock.SLOT_NANOS;
            if (!isInOrder || steps < units.size()) {
                throw new IllegalArgumentException("lots must be in order: " + lots);
            }
            while (units.size() < steps) {
                units.add(0L);
            }
            units.add(lot.units());
        }
        return new UnitGrant(
                customer,
                (int) ((first - nowNanos) / NANOS_PER_MILLI),
                isAscending ? UnitStock.SLOT_MILLIS : -UnitStock.SLOT_MILLIS,
                units);
    }

    /**
     * Returns the lots of a grant, without those beyond the most elements that are accepted.
     *
     * @param grant the grant
     * @param sentNanos the monotonic time in nanoseconds from which its life is counted
     * @return the lots in the order of the grant, without empty ones
     */
    static List<UnitLot> ofGrant(final UnitGrant grant, final long sentNanos) {
        final List<UnitLot> lots = new ArrayList<>();
        final int elements = Math.min(UnitGrant.MAXIMUM_ELEMENTS, grant.units().size());
        for (int i = 0; i < elements; i++) {
            final long lifeMillis = grant.lifeMillis() + (long) i * grant.stepMillis();
            if (grant.units().get(i) > 0) {
                lots.add(
                        new UnitLot(
                                grant.units().get(i), sentNanos + lifeMillis * NANOS_PER_MILLI));
            }
        }
        return lots;
    }
}
