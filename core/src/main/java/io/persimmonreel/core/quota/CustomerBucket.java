package io.persimmonreel.core.quota;

/**
 * Limits the rate of one customer across the fleet with a token bucket; every daemon has a copy.
 *
 * <p>Own use is subtracted at once and the use by peers when they report it. The bucket refills
 * only at the share of the fleet that this daemon hears from, so that the parts of a partitioned
 * fleet together stay within the rate. Not thread safe.
 */
final class CustomerBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Initial fraction of the burst, since a new process does not know the use before its start.
     */
    private static final double INITIAL_SHARE = 0.8;

    /** Maximum debt from use that peers report late, in seconds of the rate. */
    private static final double MAXIMUM_DEBT_SECONDS = 4.0;

    private double mRate;
    private double mBurst;
    private double mLevel;
    private long mRefilledNanos;
    private long mUnreported;

    CustomerBucket(final double rate, final double burst, final long nowNanos) {
        mRate = rate;
        mBurst = burst;
        mLevel = burst * INITIAL_SHARE;
        mRefilledNanos = nowNanos;
    }

    void configure(final double rate, final double burst) {
        mRate = rate;
        mBurst = burst;
        mLevel = Math.min(mLevel, burst);
    }

    boolean tryUse(final long units, final double reachableShare, final long nowNanos) {
        refill(reachableShare, nowNanos);
        if (mRate <= 0) {
            return true;
        }
        if (mLevel <= 0) {
            return false;
        }
        mLevel -= units;
        mUnreported += units;
        return true;
    }

    /** Gives back the units of a request that did not run. */
    void refund(final long units) {
        mLevel = Math.min(mBurst, mLevel + units);
        mUnreported -= units;
    }

    /** Returns the own use since the last call, to be reported to peers. */
    long takeUnreported() {
        final long units = mUnreported;
        mUnreported = 0;
        return units;
    }

    void onPeerUse(final long units) {
        mLevel = Math.min(mBurst, Math.max(mLevel - units, -MAXIMUM_DEBT_SECONDS * mRate));
    }

    double level() {
        return mLevel;
    }

    /** Lowers the level to that of a daemon that has run for longer, if that is lower. */
    void lowerTo(final double level) {
        mLevel = Math.min(mLevel, level);
    }

    /** Returns the time in milliseconds until a unit is available again. */
    long millisUntilAvailable(final double reachableShare) {
        final double rate = Math.max(1.0, mRate * reachableShare);
        return (long) Math.ceil(Math.max(0.0, 1.0 - mLevel) * 1_000.0 / rate);
    }

    private void refill(final double reachableShare, final long nowNanos) {
        final double seconds = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mRefilledNanos = nowNanos;
        mLevel = Math.min(mBurst, mLevel + seconds * mRate * reachableShare);
    }
}
