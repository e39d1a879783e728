package io.persimmonreel.core.schedule;

/**
 * Computes how many slots to reserve for urgent requests from their arrival rate and service time.
 */
final class UrgentHeadroom {
    private static final double RATE_WINDOW_NANOS = 5e9;
    private static final double SERVICE_TIME_WEIGHT = 0.1;
    private static final double MAXIMUM_SHARE = 0.1;

    private double mArrivalsPerNano;
    private double mServiceNanos;
    private long mLastNanos;

    void onArrival(final long nowNanos) {
        decay(nowNanos);
        mArrivalsPerNano += 1 / RATE_WINDOW_NANOS;
    }

    void onServed(final long nanos) {
        mServiceNanos += (mServiceNanos == 0 ? 1 : SERVICE_TIME_WEIGHT) * (nanos - mServiceNanos);
    }

    /**
     * Returns the slots to keep free for urgent requests.
     *
     * @param urgentRunning the number of running urgent requests
     * @param allowance the most requests that this daemon may have in flight
     * @param nowNanos the present time
     * @return the number of slots, from 0 to a tenth of the allowance
     */
    double slots(final int urgentRunning, final int allowance, final long nowNanos) {
        decay(nowNanos);
        final double mean = mArrivalsPerNano * mServiceNanos;
        final double wanted = mean + Math.sqrt(mean) - urgentRunning;
        return Math.max(0, Math.min(wanted, allowance * MAXIMUM_SHARE));
    }

    private void decay(final long nowNanos) {
        final long passed = nowNanos - mLastNanos;
        if (mArrivalsPerNano == 0 || passed > 0) {
            mArrivalsPerNano *= mArrivalsPerNano == 0 ? 0 : Math.exp(-passed / RATE_WINDOW_NANOS);
            mLastNanos = nowNanos;
        }
    }
}
