package io.persimmonreel.core.admission;

/**
 * Predicts when a request is taken by one of the replicas that take none now, because they
 * advertise a rate limit and no permit is left or because they pushed requests back.
 */
public final class RateLimitedWait {
    private static final double MILLIS_PER_SECOND = 1e3;

    private double mFirstMillis = Double.POSITIVE_INFINITY;
    private double mFirstOpenMillis = Double.POSITIVE_INFINITY;
    private double mPerSecond;
    private int mReplicas;

    /**
     * Adds a replica that only lacks a permit.
     *
     * @param permitMillis the time until this daemon's next permit, in milliseconds
     * @param perSecond the rate of this daemon's permits
     */
    public void add(final double permitMillis, final double perSecond) {
        add(0, permitMillis, perSecond);
    }

    /**
     * Adds a replica that pushed requests back and may also lack a permit.
     *
     * @param openMillis the time until the end of a push-back, in milliseconds, 0 if there is none
     * @param permitMillis the time until this daemon's next permit, in milliseconds, 0 if there is
     *     one
     * @param perSecond the rate at which the replica then takes this daemon's requests
     */
    public void add(final double openMillis, final double permitMillis, final double perSecond) {
        mFirstMillis = Math.min(mFirstMillis, Math.max(openMillis, permitMillis));
        mFirstOpenMillis = Math.min(mFirstOpenMillis, openMillis);
        mPerSecond += perSecond;
        mReplicas++;
    }

    /**
     * Returns whether no replica was added.
     *
     * @return true if the request does not wait for a replica to take requests
     */
    public boolean isEmpty() {
        return mReplicas == 0;
    }

    /**
     * Predicts when a request is taken.
     *
     * @param ahead the requests that are taken before it, including a fraction
     * @return the forecast, whose wait is infinite if this daemon has no share
     */
    public PlaceForecast forecast(final double ahead) {
        final double intervalMillis = MILLIS_PER_SECOND / mPerSecond;
        return new PlaceForecast(
                mFirstMillis + (ahead <= 0 ? 0 : ahead * intervalMillis),
                intervalMillis,
                mFirstOpenMillis);
    }
}
