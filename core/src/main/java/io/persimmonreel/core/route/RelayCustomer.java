package io.persimmonreel.core.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * Describes a customer whose requests are relayed.
 *
 * @param name the name
 * @param keys the accepted keys
 * @param rank the urgency that goes before the route's, empty if the route decides
 * @param ratePerSecond the quota in units a second, 0 for no limit
 * @param burst the units that may be used at once beyond the rate
 * @param countsTokens whether a unit is a token and not a request
 * @param unsizedTokens the tokens that a request without a declared size counts as
 */
public record RelayCustomer(
        String name,
        List<String> keys,
        OptionalInt rank,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        long unsizedTokens) {
    /** Copies the list of keys. */
    public RelayCustomer {
        keys = List.copyOf(keys);
    }

    /**
     * Returns the units that a request uses of the quota.
     *
     * @param sizeTokens the declared size in tokens, negative if it is not declared
     * @return the units, at least 1
     */
    public long units(final long sizeTokens) {
        if (!countsTokens) {
            return 1;
        }
        return Math.max(1, sizeTokens < 0 ? unsizedTokens : sizeTokens);
    }

    @Override
    public String toString() {
        return "RelayCustomer[" + name + ", " + keys.size() + " keys]";
    }
}
