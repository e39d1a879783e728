package io.persimmonreel.core.replica;

/**
 * Tracks the request failures of a replica and ejects it for a time after too many of them.
 *
 * <p>When the ejection time has passed, the replica is on probation: a success ends it, and a
 * failure ejects the replica for twice as long. Health checks may report a failing replica as
 * healthy and the reverse, so only the results of requests count. Written by the event loop only;
 * any thread may read.
 */
public final class HealthRecord {
    /** Consecutive failures after which a replica is ejected. */
    private static final int EJECTION_FAILURES = 3;

    /**
     * Duration of the first ejection in nanoseconds; it doubles with each ejection that follows.
     */
    private static final long FIRST_EJECTION_NANOS = 700_000_000L;

    private static final long LONGEST_EJECTION_NANOS = 6_000_000_000L;

    /**
     * Time in nanoseconds for which a failed connection counts as evidence; longer than the longest
     * ejection, after which the replica is tried again.
     */
    private static final long UNREACHABLE_LIFETIME_NANOS = 10_000_000_000L;

    /** Weight of one result in the moving average of the failure rate. */
    private static final double RESULT_WEIGHT = 0.12;

    /** Failure rate from which a replica is ejected. */
    private static final double EJECTION_FAILURE_RATE = 0.5;

    private volatile int mConsecutiveFailures;
    private volatile double mFailureRate;
    private volatile long mEjectedUntilNanos = Long.MIN_VALUE / 2;
    private volatile long mEjectionNanos = FIRST_EJECTION_NANOS;
    private volatile boolean mOnProbation;
    private volatile boolean mUnreachable;
    private volatile long mUnreachableNanos;

    /** Records a request that succeeded. */
    public void onSuccess() {
        mConsecutiveFailures = 0;
        mUnreachable = false;
        mFailureRate -= RESULT_WEIGHT * mFailureRate;
        if (mOnProbation && mFailureRate < EJECTION_FAILURE_RATE) {
            mOnProbation = false;
            mEjectionNanos = FIRST_EJECTION_NANOS;
        }
    }

    /**
     * Records a request that failed because of the replica.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if this ejects the replica
     */
    public boolean onFailure(final long nowNanos) {
        mConsecutiveFailures++;
        mFailureRate += RESULT_WEIGHT * (1.0 - mFailureRate);
        if (mConsecutiveFailures < EJECTION_FAILURES && mFailureRate < EJECTION_FAILURE_RATE) {
            return false;
        }
        if (mOnProbation && nowNanos - mEjectedUntilNanos < 0) {
            return false;
        }
        if (mOnProbation) {
            mEjectionNanos = Math.min(LONGEST_EJECTION_NANOS, 2 * mEjectionNanos);
        }
        mOnProbation = true;
        mEjectedUntilNanos = nowNanos + mEjectionNanos;
        return true;
    }

    /**
     * Records an error response. Healthy services answer some requests with errors, so these
     * responses count for the failure rate and do not add up as consecutive failures.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if this ejects the replica
     */
    public boolean onErrorResponse(final long nowNanos) {
        mConsecutiveFailures = 0;
        return onFailure(nowNanos);
    }

    /**
     * Records that no connection to the replica could be opened, which ejects it at once.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if this ejects the replica
     */
    public boolean onUnreachable(final long nowNanos) {
        mUnreachableNanos = nowNanos;
        mUnreachable = true;
        return onMisdirected(nowNanos);
    }

    /**
     * Records that the replica's address belongs to another replica now, which ejects the replica
     * at once.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if this ejects the replica
     */
    public boolean onMisdirected(final long nowNanos) {
        mConsecutiveFailures = Math.max(mConsecutiveFailures, EJECTION_FAILURES - 1);
        return onFailure(nowNanos);
    }

    /**
     * Returns whether the last connection to the replica could not be opened.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true until a request succeeds, 10 s at most
     */
    public boolean isUnreachable(final long nowNanos) {
        return mUnreachable && nowNanos - mUnreachableNanos < UNREACHABLE_LIFETIME_NANOS;
    }

    /**
     * Returns whether the replica is ejected.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true until the ejection time has passed
     */
    public boolean isEjected(final long nowNanos) {
        return mOnProbation && nowNanos - mEjectedUntilNanos < 0;
    }

    /**
     * Returns whether the replica is ejected, or was and has not recovered since.
     *
     * @return true until a request succeeds while the failure rate is low
     */
    public boolean isOnProbation() {
        return mOnProbation;
    }

    /**
     * Returns the moving average of the share of requests that failed.
     *
     * @return the rate, from 0 to 1
     */
    public double failureRate() {
        return mFailureRate;
    }
}
