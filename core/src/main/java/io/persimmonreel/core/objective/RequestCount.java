package io.persimmonreel.core.objective;

/**
 * Holds the number of requests on one or several daemons.
 *
 * @param offered the requests that ended or were refused
 * @param good the requests whose whole response arrived within the objective
 */
public record RequestCount(long offered, long good) {
    /** No requests. */
    public static final RequestCount NONE = new RequestCount(0, 0);

    /**
     * Adds another count.
     *
     * @param other the other count
     * @return the sum
     */
    public RequestCount plus(final RequestCount other) {
        return new RequestCount(offered + other.offered, good + other.good);
    }

    /**
     * Returns the share of good requests.
     *
     * @return the attainment from 0 to 1; 1 if no request was offered
     */
    public double attainment() {
        return offered == 0 ? 1.0 : (double) good / offered;
    }

    /**
     * Returns the burn rate of the error budget: the share of bad requests divided by the allowed
     * share.
     *
     * @param target the share of requests that must be good, below 1
     * @return 1 if exactly the budget is used, 0 if every request was good
     */
    public double burnRate(final double target) {
        return (1.0 - attainment()) / (1.0 - target);
    }
}
