package io.persimmonreel.core.ratelimit;

/**
 * Holds the permits of one daemon for one replica: a token bucket whose capacity is one permit.
 *
 * <p>The permits of daemons add up, so a daemon that was idle may send one request at once and no
 * more. Not thread safe.
 */
public final class PermitBucket {
    private static final double CAPACITY = 1;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private double mPermits;
    private long mRefilledNanos;

    /**
     * Sets the permits.
     *
     * @param permits the permits, of which at most one is kept
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void reset(final double permits, final long nowNanos) {
        mPermits = Math.min(CAPACITY, permits);
        mRefilledNanos = nowNanos;
    }

    /**
     * Adds the permits since the last call.
     *
     * @param perSecond the rate of permits since then
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void refill(final double perSecond, final long nowNanos) {
        final double seconds = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mPermits = Math.min(CAPACITY, mPermits + seconds * perSecond);
        mRefilledNanos = nowNanos;
    }

    /**
     * Returns how long it takes until a permit is there.
     *
     * @param perSecond the rate of permits
     * @return the time in milliseconds, 0 if there is one, infinite if none is added
     */
    public double waitMillis(final double perSecond) {
        return mPermits >= 1 ? 0 : (1 - mPermits) / perSecond * MILLIS_PER_SECOND;
    }

    /** Takes a permit; if there is none, the next one is owed. */
    public void take() {
        mPermits -= 1;
    }
}
