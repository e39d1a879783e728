package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;
import java.time.Duration;

/**
 * Defines the excess over a quota that the operator tolerates in any window of a given length.
 *
 * @param share the excess as a fraction of the quota, such as 0.25
 * @param tokens the additional tokens in one window, for quotas that count tokens
 * @param window the length of the window
 */
public record QuotaTolerance(double share, double tokens, Duration window) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Fraction of the tolerated excess that is granted while the replicas have no room. It makes up
     * for units that are lost with messages and daemons, so that a customer within its quota isn't
     * refused for them.
     */
    private static final double SHARE_WITHOUT_ROOM = 0.5;

    /** The excess of zero. */
    public static final QuotaTolerance NONE = new QuotaTolerance(0, 0, Duration.ofSeconds(8));

    /**
     * Checks the length of the window.
     *
     * @throws IllegalArgumentException if the window is not positive
     */
    public QuotaTolerance {
        if (window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException("window must be positive: " + window);
        }
    }

    /**
     * Returns how a customer's units accrue, so that no more than the quota and the tolerance can
     * be spent in any window.
     *
     * @param customer the customer
     * @param life the time after which unspent units expire
     */
    Allowance allowance(final RelayCustomer customer, final QuotaLife life) {
        if (customer.ratePerSecond() <= 0) {
            return new Allowance(0, life.minimum().toNanos());
        }
        final double windowSeconds = seconds(window);
        final double quota = customer.ratePerSecond() * windowSeconds + customer.burst();
        final double units = quota * (1.0 + share);
        final double extra = customer.countsTokens() ? tokens : 0;
        final double perSecond = units / (windowSeconds + seconds(life.minimum()));
        final double lifeSeconds =
                Math.min(seconds(life.maximum()), seconds(life.minimum()) + extra / perSecond);
        return new Allowance(
                (units + extra) / (windowSeconds + lifeSeconds),
                (long) (lifeSeconds * NANOS_PER_SECOND));
    }

    /**
     * Returns the units that a request takes while its replicas have no room. They are more than
     * its size, so that a customer gets only a part of the tolerated rate then.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param perSecond the units of the customer that accrue in a second
     */
    long unitsWithoutRoom(final RelayCustomer customer, final long units, final double perSecond) {
        final double granted = customer.ratePerSecond() * (1.0 + share * SHARE_WITHOUT_ROOM);
        return granted <= 0 ? units : (long) (units * Math.max(1.0, perSecond / granted));
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
