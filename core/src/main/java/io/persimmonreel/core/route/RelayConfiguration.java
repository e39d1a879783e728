package io.persimmonreel.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds one version of the configuration of relayed requests. Immutable. */
public final class RelayConfiguration {
    private final long mVersion;
    private final RouteTable mRoutes;
    private final Map<String, UpstreamPool> mUpstreams = new HashMap<>();
    private final CallerLimits mLimits;
    private final List<RelayCustomer> mCustomers;
    private final Map<String, RelayCustomer> mByKey = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version the version, positive
     * @param routes the routes
     * @param upstreams the upstreams
     * @param limits the bounds on callers
     * @param customers the customers, empty if callers need no keys
     */
    public RelayConfiguration(
            final long version,
            final RouteTable routes,
            final List<UpstreamPool> upstreams,
            final CallerLimits limits,
            final List<RelayCustomer> customers) {
        mVersion = version;
        mRoutes = routes;
        mLimits = limits;
        mCustomers = List.copyOf(customers);
        upstreams.forEach(upstream -> mUpstreams.put(upstream.name(), upstream));
        for (final RelayCustomer customer : customers) {
            customer.keys().forEach(key -> mByKey.put(key, customer));
        }
    }

    /**
     * Returns the version.
     *
     * @return the version, higher ones are newer
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the routes.
     *
     * @return the table
     */
    public RouteTable routes() {
        return mRoutes;
    }

    /**
     * Returns the bounds on callers.
     *
     * @return the bounds
     */
    public CallerLimits limits() {
        return mLimits;
    }

    /**
     * Finds an upstream.
     *
     * @param name the upstream's name
     * @return the upstream, or empty
     */
    public Optional<UpstreamPool> upstream(final String name) {
        return Optional.ofNullable(mUpstreams.get(name));
    }

    /**
     * Returns the customers.
     *
     * @return the customers, empty if callers need no keys
     */
    public List<RelayCustomer> customers() {
        return mCustomers;
    }

    /**
     * Tells whether callers of a route have to show a key.
     *
     * @param route the route
     * @return true if a key is needed
     */
    public boolean needsKey(final Route route) {
        return !mCustomers.isEmpty() && !route.open();
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param key the key, may be null
     * @return the customer, or empty
     */
    public Optional<RelayCustomer> customerOf(final String key) {
        return Optional.ofNullable(key == null ? null : mByKey.get(key));
    }
}
