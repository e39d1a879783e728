package io.persimmonreel.core.ratelimit;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the rate limit that a replica advertises and the permits of this daemon's share of it.
 *
 * <p>A limit holds until a response without one, of this daemon or of a peer; the newer report
 * wins. If nothing may be sent, nothing can be heard, so a limit of zero still allows a rare trial.
 * A limit that ended is lifted gradually. Not thread safe.
 */
public final class AdvertisedRateLimit {
    /** The lowest rate of all daemons together, by which they learn that a limit has ended. */
    static final double TRIALS_PER_SECOND = 0.1;

    /** The rate of all daemons together from which the limit of a recovered replica is lifted. */
    private static final double RECOVERY_PER_SECOND = 1.0;

    /** The time after which the rate of a recovered replica is no longer limited. */
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The time without a report after which a limit ends for a daemon without a share. */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final double NANOS_PER_SECOND = 1e9;

    private final PermitBucket mPermits = new PermitBucket();
    private State mState = State.UNLIMITED;
    private double mPerSecond;
    private long mStatedNanos;
    private long mHeardNanos;
    private boolean mHasEnded;
    private long mEndedNanos;

    private enum State {
        UNLIMITED,
        LIMITED,
        RECOVERING
    }

    /**
     * Applies what a response states.
     *
     * @param statement the statement of a response that belongs to a request of this daemon
     * @param sentNanos when that request was sent, as monotonic time in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether the limit has changed
     */
    public boolean onResponse(
            final RateLimitStatement statement, final long sentNanos, final long nowNanos) {
        switch (statement.kind()) {
            case STATED:
                return onStated(statement.perSecond(), nowNanos, nowNanos);
            case NONE:
                return onNotStated(sentNanos, nowNanos);
            default:
                return false;
        }
    }

    /**
     * Returns whether a limit is stated.
     *
     * @return false also while the limit of a recovered replica is lifted
     */
    public boolean isStated() {
        return mState == State.LIMITED;
    }

    /**
     * Applies what a peer heard in a response; ignored if this daemon knows something newer.
     *
     * @param limited whether that response stated a limit
     * @param perSecond the limit
     * @param heardNanos when the peer received it, as monotonic time of this daemon in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether the limit has changed
     */
    public boolean onPeerReport(
            final boolean limited,
            final double perSecond,
            final long heardNanos,
            final long nowNanos) {
        if (!(perSecond >= 0)) {
            return false;
        }
        if (!limited) {
            return mState == State.LIMITED && heardNanos - mStatedNanos >= 0 && onEnded(heardNanos);
        }
        if (mState == State.LIMITED && heardNanos - mStatedNanos <= 0) {
            mHeardNanos = nowNanos;
            return false;
        }
        return (!mHasEnded || heardNanos - mEndedNanos > 0)
                && onStated(perSecond, heardNanos, nowNanos);
    }

    /**
     * Returns whether requests need a permit.
     *
     * @return true if a limit is stated, or has ended only recently
     */
    public boolean isLimiting() {
        return mState != State.UNLIMITED;
    }

    /**
     * Returns the stated limit.
     *
     * @return requests per second from all daemons together, the last limit if it has ended
     */
    public double perSecond() {
        return mPerSecond;
    }

    /**
     * Returns the age of what is known.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time since the limit was last stated or has ended, in milliseconds; meaningless
     *     if no limit was ever stated
     */
    public long ageMillis(final long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(
                nowNanos - (mState == State.LIMITED ? mStatedNanos : mEndedNanos));
    }

    /**
     * Returns how long this daemon must wait until it may send a request.
     *
     * @param share the fraction of the limit that this daemon may use, from 0 to 1
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds, 0 if a request may be sent now, infinite without a share
     */
    public double waitMillis(final double share, final long nowNanos) {
        refill(share, nowNanos);
        return mState == State.UNLIMITED ? 0 : mPermits.waitMillis(share * fleetRate(nowNanos));
    }

    /**
     * Records that a request is sent.
     *
     * @param share the fraction of the limit that this daemon may use, from 0 to 1
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onSent(final double share, final long nowNanos) {
        refill(share, nowNanos);
        if (mState != State.UNLIMITED) {
            mPermits.take();
        }
    }

    private boolean onStated(final double perSecond, final long statedNanos, final long nowNanos) {
        final boolean changed = mState != State.LIMITED || mPerSecond != perSecond;
        if (mState == State.UNLIMITED) {
            mPermits.reset(0, nowNanos);
        }
        mState = State.LIMITED;
        mPerSecond = perSecond;
        mStatedNanos = statedNanos;
        mHeardNanos = nowNanos;
        return changed;
    }

    /** Ends the limit, unless the request was sent before the limit was last stated. */
    private boolean onNotStated(final long sentNanos, final long nowNanos) {
        return mState == State.LIMITED && sentNanos - mStatedNanos >= 0 && onEnded(nowNanos);
    }

    private boolean onEnded(final long endedNanos) {
        mState = State.RECOVERING;
        mHasEnded = true;
        mEndedNanos = endedNanos;
        return true;
    }

    private void refill(final double share, final long nowNanos) {
        if (mState == State.LIMITED && share <= 0 && nowNanos - mHeardNanos >= SILENCE_NANOS) {
            onEnded(nowNanos);
        }
        if (mState == State.RECOVERING && nowNanos - mEndedNanos >= RECOVERY_NANOS) {
            mState = State.UNLIMITED;
        }
        if (mState == State.UNLIMITED) {
            return;
        }
        mPermits.refill(share * fleetRate(nowNanos), nowNanos);
    }

    private double fleetRate(final long nowNanos) {
        if (mState == State.RECOVERING) {
            final double seconds = (nowNanos - mEndedNanos) / NANOS_PER_SECOND;
            return Math.max(mPerSecond, RECOVERY_PER_SECOND) * Math.pow(2, seconds);
        }
        return Math.max(mPerSecond, TRIALS_PER_SECOND);
    }
}
