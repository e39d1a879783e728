package io.persimmonreel.core.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * Describes a customer whose requests are relayed.
 *
 * @param name the customer's name
 * @param keys the API keys of the customer
 * @param rank the priority of the customer's requests, 0 is the highest; empty if the route's
 *     priority applies
 * @param ratePerSecond the quota in units per second, 0 for no limit
 * @param burst the units that may be used at once beyond the rate
 * @param countsTokens whether a unit is a token; otherwise it is a request
 * @param defaultTokens the tokens to count for a request that declares no size
 */
public record RelayCustomer(
        String name,
        List<String> keys,
        OptionalInt rank,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        long defaultTokens) {
    /** Copies the list of API keys. */
    public RelayCustomer {
        keys = List.copyOf(keys);
    }

    /**
     * Returns the units of the quota that a request uses.
     *
     * @param sizeTokens the declared size of the request in tokens, negative if none is declared
     * @return the units, at least 1
     */
    public long units(final long sizeTokens) {
        if (!countsTokens) {
            return 1;
        }
        return Math.max(1, sizeTokens < 0 ? defaultTokens : sizeTokens);
    }

    @Override
    public String toString() {
        return "RelayCustomer[" + name + ", " + keys.size() + " keys]";
    }
}
