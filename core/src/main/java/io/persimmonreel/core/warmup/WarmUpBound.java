package io.persimmonreel.core.warmup;

/**
 * Bounds the requests that reach a cold replica in a second, from all daemons together.
 *
 * @param overshoot the factor by which the requests may exceed the rate that the replica takes
 * @param tolerance the requests in a second beyond that
 */
public record WarmUpBound(double overshoot, double tolerance) {
    /** Checks the figures. */
    public WarmUpBound {
        if (!(overshoot >= 0) || !(tolerance >= 0)) {
            throw new IllegalArgumentException("overshoot and tolerance must be at least 0");
        }
    }

    /**
     * Returns the most requests that may reach a cold replica in one second.
     *
     * @param perSecond the requests per second that the replica takes while it is cold
     * @return the requests, including a fraction
     */
    public double maximumPerSecond(final double perSecond) {
        return perSecond * overshoot + tolerance;
    }
}
