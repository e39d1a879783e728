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
    private static final double MILLIS_PER_SECOND = 1_000;

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
     * Returns the units that are allowed in one window if a fraction of the tolerance is granted.
     */
    double unitsInWindow(final RelayCustomer customer, final double fraction) {
        return rate(customer, fraction) * window.toMillis() / MILLIS_PER_SECOND
                + burst(customer, fraction);
    }

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
