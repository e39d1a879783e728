package io.persimmonreel.core.replica;

/**
 * Ejects a replica after failures and lets single requests probe it before it is used again.
 *
 * <p>Health checks may lie either way, so only what requests meet counts. Written by the event
 * loop, read anywhere.
 */
public final class HealthRecord {
    /** Consecutive failures after which a replica is avoided. */
    private static final int EJECT_AFTER = 3;

    /** The first time of avoidance in nanoseconds; it doubles with each failed probe. */
    private static final long FIRST_EJECTION_NANOS = 700_000_000L;

    private static final long LONGEST_EJECTION_NANOS = 6_000_000_000L;

    /** Weight of one outcome in the failure rate. */
    private static final double OUTCOME_WEIGHT = 0.12;

    /** A replica that fails this share of its requests is avoided while others do better. */
    private static final double EJECT_RATE = 0.5;

    private volatile int mConsecutive;
    private volatile double mFailureRate;
    private volatile long mEjectedUntil = Long.MIN_VALUE / 2;
    private volatile long mEjectionNanos = FIRST_EJECTION_NANOS;
    private volatile boolean mEjected;

    /** Counts a request that was answered. */
    public void onSuccess() {
        mConsecutive = 0;
        mFailureRate -= OUTCOME_WEIGHT * mFailureRate;
        if (mEjected && mFailureRate < EJECT_RATE) {
            mEjected = false;
            mEjectionNanos = FIRST_EJECTION_NANOS;
        }
    }

    /**
     * Counts a request that failed for a reason that lies with the replica.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     * @return true if the replica is avoided from now on
     */
    public boolean onFailure(final long nowNanos) {
        mConsecutive++;
        mFailureRate += OUTCOME_WEIGHT * (1.0 - mFailureRate);
        if (mConsecutive < EJECT_AFTER && mFailureRate < EJECT_RATE) {
            return false;
        }
        if (mEjected && nowNanos - mEjectedUntil < 0) {
            return false;
        }
        if (mEjected) {
            mEjectionNanos = Math.min(LONGEST_EJECTION_NANOS, 2 * mEjectionNanos);
        }
        mEjected = true;
        mEjectedUntil = nowNanos + mEjectionNanos;
        return true;
    }

    /**
     * Counts an answer that states an error. Services answer some requests so by themselves, hence
     * only the rate counts.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     * @return true if the replica is avoided from now on
     */
    public boolean onErrorAnswer(final long nowNanos) {
        mConsecutive = 0;
        return onFailure(nowNanos);
    }

    /**
     * Counts a connection that could not be opened; the replica is avoided at once.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     * @return true if the replica is avoided from now on
     */
    public boolean onUnreachable(final long nowNanos) {
        mConsecutive = Math.max(mConsecutive, EJECT_AFTER - 1);
        return onFailure(nowNanos);
    }

    /**
     * Tells whether the replica is avoided.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     * @return true while it is avoided
     */
    public boolean isEjected(final long nowNanos) {
        return mEjected && nowNanos - mEjectedUntil < 0;
    }

    /**
     * Tells whether the replica has not answered well since it was avoided.
     *
     * @return true until a request succeeds
     */
    public boolean isOnProbation() {
        return mEjected;
    }

    /**
     * Returns the share of requests that failed of late.
     *
     * @return 0 to 1
     */
    public double failureRate() {
        return mFailureRate;
    }
}
