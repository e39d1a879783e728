package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;

/**
 * Holds what the operator tolerates beyond a quota, since no daemon knows the use of all others at
 * once.
 *
 * @param share the part of the quota that may be exceeded, such as 0.25
 * @param tokens the tokens beyond that in one window
 */
public record QuotaTolerance(double share, double tokens) {
    /** Returns the rate that is enforced if a part of the tolerance is used. */
    double rate(final RelayCustomer customer, final double part) {
        return customer.ratePerSecond() * (1.0 + share * part);
    }

    /** Returns the burst that is enforced if a part of the tolerance is used. */
    double burst(final RelayCustomer customer, final double part) {
        final double beyond = customer.countsTokens() ? tokens * part : 0.0;
        return customer.burst() * (1.0 + share * part) + beyond;
    }
}
