package io.persimmonreel.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Holds the unspent units of one customer at one daemon, by their time of expiry. Times of expiry
 * are rounded down to whole slots. Not thread safe.
 */
final class UnitStock {
    /** The resolution of times of expiry, in milliseconds. */
    static final int SLOT_MILLIS = 50;

    /** The same in nanoseconds. */
    static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(SLOT_MILLIS);

    private final TreeMap<Long, Long> mUnitsBySlot = new TreeMap<>();
    private long mTotal;

    void add(final long units, final long expiryNanos) {
        if (units > 0) {
            mUnitsBySlot.merge(Math.floorDiv(expiryNanos, SLOT_NANOS), units, Long::sum);
            mTotal += units;
        }
    }

    void addAll(final Collection<UnitLot> lots) {
        lots.forEach(lot -> add(lot.units(), lot.expiryNanos()));
    }

    /** Drops the units that have expired, and returns the number of the others. */
    long total(final long nowNanos) {
        while (!mUnitsBySlot.isEmpty() && expiry(mUnitsBySlot.firstKey()) <= nowNanos) {
            mTotal -= mUnitsBySlot.pollFirstEntry().getValue();
        }
        return mTotal;
    }

    /**
     * Takes units, those that expire first before the others.
     *
     * @param minimumLifeNanos the time for which the units must be usable
     * @return the units, empty if there are too few
     */
    List<UnitLot> take(final long units, final long minimumLifeNanos, final long nowNanos) {
        total(nowNanos);
        final NavigableMap<Long, Long> usable =
                mUnitsBySlot.tailMap(Math.floorDiv(nowNanos + minimumLifeNanos, SLOT_NANOS), false);
        long found = 0;
        for (final Iterator<Long> i = usable.values().iterator(); found < units && i.hasNext(); ) {
            found += i.next();
        }
        final List<UnitLot> taken = new ArrayList<>();
        if (found >= units) {
            takeFrom(usable, units, taken);
        }
        return taken;
    }

    /** Takes all units but a number of those that expire first. */
    List<UnitLot> takeBeyond(final long kept, final long minimumLifeNanos, final long nowNanos) {
        final List<UnitLot> taken = new ArrayList<>();
        final long firstSlot = Math.floorDiv(nowNanos + minimumLifeNanos, SLOT_NANOS);
        takeFrom(
                mUnitsBySlot.tailMap(firstSlot, true).descendingMap(),
                Math.max(0, total(nowNanos) - kept),
                taken);
        return taken;
    }

    /** Reduces all units to a share and their time of expiry to a maximum. */
    void reduce(final double share, final long latestExpiryNanos) {
        final Map<Long, Long> before = Map.copyOf(mUnitsBySlot);
        clear();
        before.forEach(
                (slot, units) ->
                        add((long) (units * share), Math.min(expiry(slot), latestExpiryNanos)));
    }

    void clear() {
        mUnitsBySlot.clear();
        mTotal = 0;
    }

    /** Takes units in the order of a map, and returns the number that was not found. */
    private long takeFrom(
            final NavigableMap<Long, Long> units, final long wanted, final List<UnitLot> taken) {
        long left = wanted;
        final Iterator<Map.Entry<Long, Long>> entries = units.entrySet().iterator();
        while (left > 0 && entries.hasNext()) {
            final Map.Entry<Long, Long> entry = entries.next();
            final long part = Math.min(left, entry.getValue());
            taken.add(new UnitLot(part, expiry(entry.getKey())));
            left -= part;
            mTotal -= part;
            if (part == entry.getValue()) {
                entries.remove();
            } else {
                entry.setValue(entry.getValue() - part);
            }
        }
        return left;
    }

    private static long expiry(final long slot) {
        return slot * SLOT_NANOS;
    }
}
