package io.persimmonreel.core.replica;

/**
 * Tracks what one start of a replica says in its responses about taking requests: that it is
 * leaving, or that it takes none for a time (push-back).
 *
 * <p>A leaving replica stays so until its next start. Overlapping push-backs last until the latest
 * end, since each of them holds by itself. Written by the event loop only; any thread may read.
 */
public final class ReplicaAvailability {
    /** The longest push-back in nanoseconds; longer ones are cut to it. */
    public static final long LONGEST_PUSH_BACK_NANOS = 600_000_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private volatile boolean mLeaving;
    private volatile long mLastResortUntilNanos;
    private volatile boolean mPushedBack;
    private volatile long mPushBackEndNanos;

    /**
     * Records that the replica is leaving.
     *
     * @param lastResortNanos the time in nanoseconds in which it is still used if no other replica
     *     is left
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if this was not known
     */
    public boolean onLeaving(final long lastResortNanos, final long nowNanos) {
        if (mLeaving) {
            return false;
        }
        mLastResortUntilNanos = nowNanos + lastResortNanos;
        mLeaving = true;
        return true;
    }

    /**
     * Records that the replica takes no requests for a time.
     *
     * @param durationNanos the time in nanoseconds; if it is not positive, nothing changes
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if this begins or extends a push-back
     */
    public boolean onPushBack(final long durationNanos, final long nowNanos) {
        if (durationNanos <= 0) {
            return false;
        }
        final long end = nowNanos + Math.min(durationNanos, LONGEST_PUSH_BACK_NANOS);
        if (isPushedBack(nowNanos) && end - mPushBackEndNanos <= 0) {
            return false;
        }
        mPushBackEndNanos = end;
        mPushedBack = true;
        return true;
    }

    /**
     * Returns whether the replica has said anything about taking requests.
     *
     * @return true after the first statement, also if it is no longer in force
     */
    boolean wasStated() {
        return mLeaving || mPushedBack;
    }

    /**
     * Returns whether the replica said that it is leaving.
     *
     * @return true until its next start
     */
    public boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Returns whether a push-back is in force.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true until its end
     */
    public boolean isPushedBack(final long nowNanos) {
        return mPushedBack && nowNanos - mPushBackEndNanos < 0;
    }

    /**
     * Returns whether the replica may be used if no other one is left.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true for a short time after it said that it is leaving, unless it is pushed back
     */
    public boolean isLastResort(final long nowNanos) {
        return mLeaving && nowNanos - mLastResortUntilNanos < 0 && !isPushedBack(nowNanos);
    }

    /**
     * Returns the time until the replica takes requests.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds, 0 if it takes them now, infinite if it is leaving
     */
    public double waitMillis(final long nowNanos) {
        if (mLeaving) {
            return Double.POSITIVE_INFINITY;
        }
        return isPushedBack(nowNanos) ? (mPushBackEndNanos - nowNanos) / NANOS_PER_MILLI : 0;
    }
}
