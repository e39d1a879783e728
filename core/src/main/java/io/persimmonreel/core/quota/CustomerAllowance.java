package io.persimmonreel.core.quota;

/**
 * Meters one customer's use across the fleet with a token bucket that every daemon keeps.
 *
 * <p>Own use is subtracted at once and the use that peers report is subtracted when it is heard.
 * The share of peers that are silent is withheld, so that the parts of a split fleet together stay
 * within the rate. Not thread safe.
 */
final class CustomerAllowance {
    private static final double NANOS_PER_SECOND = 1e9;

    /** A new process knows nothing of the use before its start and begins with this part. */
    private static final double START_SHARE = 0.8;

    /** Use that is learned late is paid back over at most this many seconds of the rate. */
    private static final double LONGEST_DEBT_SECONDS = 4.0;

    private double mRate;
    private double mBurst;
    private double mLevel;
    private long mFilledNanos;
    private long mUnreported;

    CustomerAllowance(final double rate, final double burst, final long nowNanos) {
        mRate = rate;
        mBurst = burst;
        mLevel = burst * START_SHARE;
        mFilledNanos = nowNanos;
    }

    void configure(final double rate, final double burst) {
        mRate = rate;
        mBurst = burst;
        mLevel = Math.min(mLevel, burst);
    }

    boolean use(final long units, final double heardShare, final long nowNanos) {
        fill(heardShare, nowNanos);
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

    /** Gives back units of a request that did not run. */
    void giveBack(final long units) {
        mLevel = Math.min(mBurst, mLevel + units);
        mUnreported -= units;
    }

    /** Returns the own use that was not reported yet, and counts it as reported. */
    long takeUnreported() {
        final long units = mUnreported;
        mUnreported = 0;
        return units;
    }

    void onPeerUse(final long units) {
        mLevel = Math.min(mBurst, Math.max(mLevel - units, -LONGEST_DEBT_SECONDS * mRate));
    }

    double level() {
        return mLevel;
    }

    /** Takes the level of a daemon that has run for longer. */
    void lowerTo(final double level) {
        mLevel = Math.min(mLevel, level);
    }

    /** Returns the time until units are available again, in milliseconds. */
    long millisUntilAvailable(final double heardShare) {
        final double rate = Math.max(1.0, mRate * heardShare);
        return (long) Math.ceil(Math.max(0.0, 1.0 - mLevel) * 1_000.0 / rate);
    }

    private void fill(final double heardShare, final long nowNanos) {
        final double seconds = Math.max(0, nowNanos - mFilledNanos) / NANOS_PER_SECOND;
        mFilledNanos = nowNanos;
        mLevel = Math.min(mBurst, mLevel + seconds * mRate * heardShare);
    }
}
