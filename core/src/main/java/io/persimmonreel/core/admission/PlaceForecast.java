package io.persimmonreel.core.admission;

/**
 * Predicts when a waiting request gets a slot of a replica. Immutable.
 *
 * @param waitMillis the time in milliseconds until a slot is free after all requests that are
 *     before it, 0 if it is not known when there will be a replica
 * @param intervalMillis the mean time in milliseconds between two slots that become free, 0 if
 *     unknown
 * @param closedMillis the time in milliseconds in which no replica takes any request
 */
public record PlaceForecast(double waitMillis, double intervalMillis, double closedMillis) {
    /** The forecast if no replica is known that will take requests. */
    public static final PlaceForecast UNKNOWN = new PlaceForecast(0, 0, 0);

    /**
     * The forecast if replicas will take requests again, but not before an event whose time is not
     * known, like the end of an evacuation.
     */
    public static final PlaceForecast INDEFINITE =
            new PlaceForecast(Double.POSITIVE_INFINITY, 0, 0);

    /**
     * Returns the forecast of a request that may use the slots of either of two forecasts.
     *
     * @param other the other forecast
     * @return the one with the shorter wait
     */
    public PlaceForecast orEarlier(final PlaceForecast other) {
        return other.waitMillis < waitMillis ? other : this;
    }
}
