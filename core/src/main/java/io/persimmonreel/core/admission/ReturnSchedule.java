package io.persimmonreel.core.admission;

/**
 * Chooses when refused callers should return: when a slot is expected for them, each at its own
 * time, since callers that return together would be refused together. Not thread safe.
 */
public final class ReturnSchedule {
    /** Callers honour a return time up to this fraction of the time until their deadline. */
    private static final double HONOURED_SHARE = 1.0 / 3;

    private static final double NANOS_PER_MILLI = 1e6;

    private long mNextNanos;
    private boolean mHasNext;

    /**
     * Assigns a return time.
     *
     * @param place when a request is expected to get a slot
     * @param deadlineMillis the time in milliseconds until the caller's deadline
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the delay in milliseconds after which the caller should return: at most what callers
     *     honour, but not while no replica takes requests; 0 if there is nothing to wait for
     */
    public long delayMillis(
            final PlaceForecast place, final double deadlineMillis, final long nowNanos) {
        if (place.waitMillis() <= 0) {
            return 0;
        }
        final long longestMillis = (long) (HONOURED_SHARE * Math.max(0, deadlineMillis));
        final double nextMillis = mHasNext ? (mNextNanos - nowNanos) / NANOS_PER_MILLI : 0;
        final double delayMillis = Math.max(place.waitMillis(), nextMillis);
        if (delayMillis <= longestMillis) {
            mNextNanos =
                    nowNanos + (long) ((delayMillis + place.intervalMillis()) * NANOS_PER_MILLI);
            mHasNext = true;
        }
        final double honouredMillis = Math.min(Math.ceil(delayMillis), longestMillis);
        return (long) Math.max(honouredMillis, Math.ceil(place.closedMillis()));
    }
}
