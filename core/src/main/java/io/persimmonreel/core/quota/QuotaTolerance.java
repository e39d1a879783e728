package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;

/**
 * Defines the excess over a quota that the operator tolerates, since daemons learn of the use
 * through other daemons with a delay.
 *
 * @param share the excess as a fraction of the quota, such as 0.25
 * @param tokens the additional tokens in one window, for quotas that count tokens
 */
public record QuotaTolerance(double share, double tokens) {
    /** Returns the rate to enforce if a fraction of the tolerance is granted. */
    double rate(final RelayCustomer customer, final double fraction) {
        return customer.ratePerSecond() * (1.0 + share * fraction);
    }

    /** Returns the burst to enforce if a fraction of the tolerance is granted. */
    double burst(final RelayCustomer customer, final double fraction) {
        final double extraTokens = customer.countsTokens() ? tokens * fraction : 0.0;
        return customer.burst() * (1.0 + share * fraction) + extraTokens;
    }
}
