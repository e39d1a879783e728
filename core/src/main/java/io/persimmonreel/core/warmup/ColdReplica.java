package io.persimmonreel.core.warmup;

import io.persimmonreel.core.ratelimit.PermitBucket;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.concurrent.TimeUnit;

/** Holds what this daemon knows of the warm-up of one replica, over its starts. */
final class ColdReplica {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * The time for which permits outlast a cold state, so that a replica that is cold again within
     * a window of the bound brings no new permits.
     */
    private static final long PERMIT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * The time after the last sign of a crash for which a replica counts as cold without a new
     * entry. Connections that are refused renew it, so it only ends a false alarm.
     */
    private static final long CRASH_NANOS = TimeUnit.SECONDS.toNanos(30);

    /**
     * The least time between a crash and a response that shows that there was none. What a process
     * sent before it ended arrives within this time.
     */
    private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final long mIdHash;
    private final PermitBucket mPermits = new PermitBucket();
    private String mUpstream;
    private long mStartedMillis;
    private double mWarmUpLeftMillis;
    private long mColdFromNanos = NEVER;
    private long mColdUntilNanos = NEVER;
    private boolean mCrashed;
    private boolean mIsObserver;
    private long mCrashNanos = NEVER;
    private long mAliveFromNanos = NEVER;
    private long mAliveUntilNanos = NEVER;
    private boolean mHasPermits;
    private double mPerSecond;

    ColdReplica(final ReplicaEntry entry, final long idHash, final long nowNanos) {
        mIdHash = idHash;
        apply(entry, nowNanos);
    }

    String upstream() {
        return mUpstream;
    }

    long idHash() {
        return mIdHash;
    }

    long startedMillis() {
        return mStartedMillis;
    }

    double perSecond() {
        return mPerSecond;
    }

    boolean isCold(final long nowNanos) {
        return mColdUntilNanos - nowNanos > 0;
    }

    boolean isCrashed(final long nowNanos) {
        return mCrashed && isCold(nowNanos);
    }

    /** Returns whether this daemon saw the crash itself. */
    boolean isObserver() {
        return mIsObserver;
    }

    long crashNanos() {
        return mCrashNanos;
    }

    /**
     * Applies an entry of the replica.
     *
     * @return whether the entry says something new about the warm-up
     */
    boolean onEntry(final ReplicaEntry entry, final long nowNanos) {
        final boolean isNewStart = entry.startedMillis() != mStartedMillis;
        // Entries of before a crash may arrive after it, so one of the same start ends a crash only
        // if it states a new cold state.
        final boolean isColdAgain =
                entry.warmUpLeftMillis() > 0 && entry.warmUpLeftMillis() != mWarmUpLeftMillis;
        if (isNewStart || isColdAgain) {
            apply(entry, nowNanos);
            return true;
        }
        mUpstream = entry.upstream();
        mWarmUpLeftMillis = entry.warmUpLeftMillis();
        return false;
    }

    private void apply(final ReplicaEntry entry, final long nowNanos) {
        mUpstream = entry.upstream();
        mStartedMillis = entry.startedMillis();
        mWarmUpLeftMillis = entry.warmUpLeftMillis();
        mCrashed = false;
        mIsObserver = false;
        mAliveFromNanos = NEVER;
        mAliveUntilNanos = NEVER;
        final long nanos = Math.round(mWarmUpLeftMillis * TimeUnit.MILLISECONDS.toNanos(1));
        if (nanos > 0) {
            onCold(nowNanos + nanos, nowNanos);
        } else {
            mColdUntilNanos = Math.min(mColdUntilNanos, nowNanos);
        }
    }

    /**
     * Applies a sign that the replica crashed.
     *
     * @param isObserver whether this daemon saw it itself
     * @return whether the sign is newer than what is known
     */
    boolean onCrash(final boolean isObserver, final long crashNanos, final long nowNanos) {
        final boolean isRefuted =
                crashNanos - mAliveFromNanos > 0 && crashNanos - mAliveUntilNanos <= 0;
        final boolean isOld = mCrashed && crashNanos - mCrashNanos <= 0;
        if (isRefuted || isOld || nowNanos - crashNanos >= CRASH_NANOS) {
            return false;
        }
        mIsObserver |= isObserver;
        mCrashNanos = crashNanos;
        onCold(crashNanos + CRASH_NANOS, nowNanos);
        mCrashed = true;
        return true;
    }

    /**
     * Applies a response: one to a request that was written before the supposed crash shows that
     * the process still runs.
     *
     * @return whether that ended the cold state
     */
    boolean onResponse(final long writtenNanos, final long nowNanos) {
        if (!isCrashed(nowNanos)
                || writtenNanos - mCrashNanos >= 0
                || nowNanos - mCrashNanos < ANSWER_MARGIN_NANOS) {
            return false;
        }
        mAliveFromNanos = writtenNanos;
        mAliveUntilNanos = nowNanos - ANSWER_MARGIN_NANOS;
        mCrashed = false;
        mIsObserver = false;
        mColdUntilNanos = nowNanos;
        return true;
    }

    private void onCold(final long untilNanos, final long nowNanos) {
        if (!isCold(nowNanos)) {
            mColdFromNanos = nowNanos;
        }
        mColdUntilNanos = untilNanos;
    }

    /** Returns whether permits are kept, because the replica is cold or was until recently. */
    boolean hasPermits() {
        return mHasPermits;
    }

    void beginPermits(final double permits, final double perSecond, final long nowNanos) {
        mHasPermits = true;
        mPermits.reset(permits, nowNanos);
        mPerSecond = perSecond;
    }

    /**
     * Drops the permits some time after the end of the cold state.
     *
     * @return whether they were dropped now
     */
    boolean dropPermits(final long nowNanos) {
        final boolean drops = mHasPermits && nowNanos - mColdUntilNanos > PERMIT_LIFETIME_NANOS;
        mHasPermits &= !drops;
        return drops;
    }

    /** Changes the rate of permits. A daemon that loses its share loses its permits. */
    void onRate(final double perSecond, final long nowNanos) {
        mPermits.refill(mPerSecond, nowNanos);
        if (perSecond <= 0) {
            mPermits.reset(0, nowNanos);
        }
        mPerSecond = perSecond;
    }

    double waitMillis(final long nowNanos) {
        mPermits.refill(mPerSecond, nowNanos);
        return mPermits.waitMillis(mPerSecond);
    }

    void onSent(final long nowNanos) {
        mPermits.refill(mPerSecond, nowNanos);
        mPermits.take();
    }

    /** Returns whether a request that was chosen at a time has taken a permit. */
    boolean hasTakenPermit(final long sentNanos) {
        return sentNanos - mColdFromNanos >= 0;
    }
}
