package io.persimmonreel.core.claim;

import io.persimmonreel.core.time.TimeSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Measures since when this process has run without interruption. A pause of the process, a jump of
 * the wall clock and a change of the claim groups restart the measurement.
 */
final class ContinuousUptime {
    /** Smaller differences are no jump, because two clocks can't be read at the same instant. */
    private static final long MINIMUM_JUMP_MILLIS = 100;

    /**
     * Holds one uninterrupted period.
     *
     * @param sinceNanos the monotonic time from which the period counts
     * @param sinceWallMillis the wall time from which the period counts
     * @param clockOffsetMillis wall clock minus monotonic clock at the start of the period
     * @param lastTickNanos the monotonic time of the last timer tick
     * @param highestWallMillis the highest wall time read since the process started
     */
    private record Period(
            long sinceNanos,
            long sinceWallMillis,
            long clockOffsetMillis,
            long lastTickNanos,
            long highestWallMillis) {
        Period withTick(final long nowNanos, final long wallMillis) {
            return new Period(
                    sinceNanos,
                    sinceWallMillis,
                    clockOffsetMillis,
                    nowNanos,
                    Math.max(highestWallMillis, wallMillis));
        }
    }

    private final TimeSource mTime;
    private final AtomicReference<Period> mPeriod;

    ContinuousUptime(final TimeSource time) {
        mTime = time;
        mPeriod = new AtomicReference<>(newPeriod(time.monotonicNanos(), Long.MIN_VALUE));
    }

    /**
     * Records a timer tick and restarts the measurement if there was an interruption.
     *
     * @return the reason for a restart, or empty if there was none
     */
    Optional<String> onTimer(final long nowNanos, final long skewMillis) {
        final Optional<String> interruption = restartIfInterrupted(nowNanos, skewMillis);
        if (interruption.isEmpty()) {
            final long wall = mTime.wallMillis();
            mPeriod.updateAndGet(
                    period -> period.withTick(Math.max(nowNanos, period.lastTickNanos), wall));
        }
        return interruption;
    }

    /**
     * Restarts the measurement if there was an interruption since the last tick.
     *
     * @return the reason for a restart, or empty if there was none
     */
    Optional<String> restartIfInterrupted(final long nowNanos, final long skewMillis) {
        final Period period = mPeriod.get();
        if (nowNanos - period.lastTickNanos > ClaimLimits.PAUSE_THRESHOLD_NANOS) {
            final long pauseMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - period.lastTickNanos);
            restart(nowNanos);
            return Optional.of("no timer tick for " + pauseMillis + " ms");
        }
        final long jumpMillis = clockOffsetMillis(nowNanos) - period.clockOffsetMillis;
        if (Math.abs(jumpMillis) > Math.max(skewMillis, MINIMUM_JUMP_MILLIS)) {
            restart(nowNanos);
            return Optional.of("the wall clock moved by " + jumpMillis + " ms");
        }
        return Optional.empty();
    }

    void restart(final long nowNanos) {
        mPeriod.updateAndGet(period -> newPeriod(nowNanos, period.highestWallMillis));
    }

    /** Tells whether the process has run since before any daemon's clock showed a wall time. */
    boolean hasRunSince(final long wallMillis, final long skewMillis) {
        return mPeriod.get().sinceWallMillis <= wallMillis - skewMillis;
    }

    boolean hasUptime(final long uptimeNanos, final long nowNanos) {
        return nowNanos - mPeriod.get().sinceNanos >= uptimeNanos;
    }

    /** Returns how long it takes until an uptime is reached, 0 if it has been reached. */
    long remainingNanos(final long uptimeNanos, final long nowNanos) {
        return Math.max(0L, uptimeNanos - (nowNanos - mPeriod.get().sinceNanos));
    }

    private Period newPeriod(final long nowNanos, final long highestWallMillis) {
        final long wall = mTime.wallMillis();
        final long delayMillis = TimeUnit.NANOSECONDS.toMillis(ClaimLimits.UPTIME_DELAY_NANOS);
        // If the clock was set back, keys with times up to the highest one read may be in use
        // already.
        final long highest = Math.max(wall, highestWallMillis);
        return new Period(
                nowNanos + ClaimLimits.UPTIME_DELAY_NANOS,
                highest + delayMillis,
                clockOffsetMillis(nowNanos),
                nowNanos,
                highest);
    }

    private long clockOffsetMillis(final long nowNanos) {
        return mTime.wallMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
