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
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Initial fraction of the burst, since a new process does not know the use before its start.
     */
    private static final double INITIAL_SHARE = 0.8;

    /** Maximum debt from use beyond the quota or reported late, in seconds of the rate. */
    private static final double MAXIMUM_DEBT_SECONDS = 4.0;

    private final UseWindow mUse;
    private final UseWindow mOwnUse;
    private final long mWindowKnownNanos;
    private double mRate;
    private double mBurst;
    private double mInWindow;
    private double mToleratedInWindow;
    private double mLevel;
    private long mRefilledNanos;
    private long mUnreported;

    CustomerBucket(final Limit limit, final long windowNanos, final long nowNanos) {
        mUse = new UseWindow(windowNanos, nowNanos);
        mOwnUse = new UseWindow(windowNanos, nowNanos);
        mWindowKnownNanos = nowNanos + windowNanos;
        mLevel = limit.burst() * INITIAL_SHARE;
        mRefilledNanos = nowNanos;
        configure(limit);
    }

    /**
     * Holds what is enforced for a customer.
     *
     * @param rate the units per second
     * @param burst the units that may be used at once beyond the rate
     * @param inWindow the units in one window that the customer gets in any case
     * @param toleratedInWindow the most units in one window while there is room
     */
    record Limit(double rate, double burst, double inWindow, double toleratedInWindow) {}

    void configure(final Limit limit) {
        mRate = limit.rate();
        mBurst = limit.burst();
        mInWindow = limit.inWindow();
        mToleratedInWindow = limit.toleratedInWindow();
        mLevel = Math.min(mLevel, mBurst);
    }

    /**
     * Uses units of the quota. A customer whose tolerated use has overdrawn the bucket still gets
     * its quota, counted over the window.
     */
    boolean tryUse(
            final long units, final double reachableShare, final int daemons, final long nowNanos) {
        refill(reachableShare, nowNanos);
        if (mRate <= 0) {
            return true;
        }
        if (mLevel > 0) {
            mLevel -= units;
            record(units, nowNanos);
            return true;
        }
        return reachableShare >= 1.0 && tryUseInWindow(units, mInWindow, daemons, nowNanos);
    }

    /** Uses units beyond the quota, if the use in the window stays within what is tolerated. */
    boolean tryUseTolerated(final long units, final int daemons, final long nowNanos) {
        return tryUseInWindow(units, mToleratedInWindow, daemons, nowNanos);
    }

    /** Gives back the units of a request that did not run. */
    void refund(final long units, final long nowNanos) {
        mLevel = Math.min(mBurst, mLevel + units);
        record(-units, nowNanos);
    }

    /** Returns the own use since the last call, to be reported to peers. */
    long takeUnreported() {
        final long units = mUnreported;
        mUnreported = 0;
        return units;
    }

    void onPeerUse(final long units, final long nowNanos) {
        lower(units);
        mUse.add(units, nowNanos);
    }

    double level() {
        return mLevel;
    }

    QuotaState state(final double reachableShare) {
        return new QuotaState(mRate, mBurst, mLevel, reachableShare);
    }

    /** Lowers the level to that of a daemon that has run for longer, if that is lower. */
    void lowerTo(final double level) {
        mLevel = Math.min(mLevel, level);
    }

    /**
     * Returns the time in milliseconds until units are available again, from the bucket or from the
     * use in the window.
     */
    long millisUntilAvailable(
            final long units,
            final boolean room,
            final double reachableShare,
            final long nowNanos) {
        final double rate = Math.max(1.0, mRate * reachableShare);
        final double refillMillis = Math.max(0.0, 1.0 - mLevel) * 1_000.0 / rate;
        if (reachableShare < 1.0 || nowNanos - mWindowKnownNanos < 0) {
            return (long) Math.ceil(refillMillis);
        }
        final double limit = room ? mToleratedInWindow : mInWindow;
        final double windowMillis =
                mUse.nanosUntilAtMost(limit - units, nowNanos) / NANOS_PER_MILLI;
        return (long) Math.ceil(Math.min(refillMillis, windowMillis));
    }

    /**
     * Uses units if the use in the window stays within a limit, also with the use that other
     * daemons have not reported yet. A daemon that started within the window does not know the use
     * in it.
     */
    private boolean tryUseInWindow(
            final long units, final double limit, final int daemons, final long nowNanos) {
        if (nowNanos - mWindowKnownNanos < 0) {
            return false;
        }
        final double known = mUse.total(nowNanos);
        final double unreported = Math.max(0, mUnreported) * fleetFactor(daemons, nowNanos);
        if (known + unreported + units > limit) {
            return false;
        }
        lower(units);
        record(units, nowNanos);
        return true;
    }

    /**
     * Estimates by which factor the use through the whole fleet exceeds that through this daemon.
     */
    private double fleetFactor(final int daemons, final long nowNanos) {
        final long own = mOwnUse.total(nowNanos);
        return own <= 0 ? daemons : Math.min(daemons, (double) mUse.total(nowNanos) / own);
    }

    private void record(final long units, final long nowNanos) {
        mUnreported += units;
        mUse.add(units, nowNanos);
        mOwnUse.add(units, nowNanos);
    }

    private void lower(final long units) {
        final double lowest = Math.min(mLevel, -MAXIMUM_DEBT_SECONDS * mRate);
        mLevel = Math.min(mBurst, Math.max(mLevel - units, lowest));
    }

    private void refill(final double reachableShare, final long nowNanos) {
        final double seconds = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mRefilledNanos = nowNanos;
        mLevel = Math.min(mBurst, mLevel + seconds * mRate * reachableShare);
    }
}
