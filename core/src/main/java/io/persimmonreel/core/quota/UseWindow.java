package io.persimmonreel.core.quota;

/**
 * Adds up the use of one customer over a sliding window.
 *
 * <p>The window is divided into slots and counts up to one slot too much, never too little. Not
 * thread safe.
 */
final class UseWindow {
    private static final int SLOTS = 32;

    private final long[] mUnits = new long[SLOTS + 1];
    private final long mSlotNanos;
    private long mSlot;

    /**
     * Creates an empty window.
     *
     * @param windowNanos the length of the window in nanoseconds, at least 32
     * @param nowNanos the current monotonic time in nanoseconds
     */
    UseWindow(final long windowNanos, final long nowNanos) {
        mSlotNanos = windowNanos / SLOTS;
        mSlot = Math.floorDiv(nowNanos, mSlotNanos);
    }

    /** Adds units, or removes units that were refunded if the number is negative. */
    void add(final long units, final long nowNanos) {
        advance(nowNanos);
        mUnits[index(mSlot)] += units;
    }

    /** Returns the units in the window. */
    long total(final long nowNanos) {
        advance(nowNanos);
        long total = 0;
        for (final long units : mUnits) {
            total += units;
        }
        return total;
    }

    /**
     * Returns the time until the use has fallen to a limit if none is added, in nanoseconds; the
     * length of the window if the limit is negative.
     */
    long nanosUntilAtMost(final double limit, final long nowNanos) {
        long left = total(nowNanos);
        long slot = mSlot - SLOTS;
        while (left > limit && slot <= mSlot) {
            left -= mUnits[index(slot)];
            slot++;
        }
        final long end = (slot + SLOTS) * mSlotNanos;
        return slot == mSlot - SLOTS ? 0 : Math.min(end - nowNanos, SLOTS * mSlotNanos);
    }

    private void advance(final long nowNanos) {
        final long slot = Math.floorDiv(nowNanos, mSlotNanos);
        for (int i = 0; mSlot < slot && i < mUnits.length; i++) {
            mSlot++;
            mUnits[index(mSlot)] = 0;
        }
        mSlot = Math.max(mSlot, slot);
    }

    private int index(final long slot) {
        return (int) Math.floorMod(slot, (long) mUnits.length);
    }
}
