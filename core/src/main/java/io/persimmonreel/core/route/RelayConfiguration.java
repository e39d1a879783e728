package io.persimmonreel.core.route;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Contains one version of the configuration of relayed requests. Immutable. */
public final class RelayConfiguration {
    private final long mVersion;
    private final RouteTable mRoutes;
    private final Map<String, RelayUpstream> mUpstreams = new HashMap<>();
    private final CallerLimits mLimits;
    private final List<RelayCustomer> mCustomers;
    private final Map<String, RelayCustomer> mByKey = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version the version, positive
     * @param routes the routes
     * @param upstreams the upstreams
     * @param limits the limits on what callers send
     * @param customers the customers, empty if callers need no API keys
     */
    public RelayConfiguration(
            final long version,
            final RouteTable routes,
            final List<RelayUpstream> upstreams,
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
     * Returns the version of the configuration.
     *
     * @return the version; higher ones are newer
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the routes.
     *
     * @return the routes as a table
     */
    public RouteTable routes() {
        return mRoutes;
    }

    /**
     * Returns the limits on what callers send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return mLimits;
    }

    /**
     * Returns the upstreams.
     *
     * @return the upstreams, in no order
     */
    public Collection<RelayUpstream> upstreams() {
        return Collections.unmodifiableCollection(mUpstreams.values());
    }

    /**
     * Finds an upstream by its name.
     *
     * @param name the upstream's name
     * @return the upstream, or empty if it is unknown
     */
    public Optional<RelayUpstream> upstream(final String name) {
        return Optional.ofNullable(mUpstreams.get(name));
    }

    /**
     * Returns the properties of an upstream's engines.
     *
     * @param name the upstream's name
     * @return the properties, {@link EngineProfile#UNKNOWN} if the upstream is unknown or has no
     *     engines
     */
    public EngineProfile engine(final String name) {
        return upstream(name).flatMap(RelayUpstream::engine).orElse(EngineProfile.UNKNOWN);
    }

    /**
     * Returns the customers.
     *
     * @return the customers, empty if callers need no API keys
     */
    public List<RelayCustomer> customers() {
        return mCustomers;
    }

    /**
     * Returns whether callers of a route need an API key.
     *
     * @param route the route
     * @return true if they need one
     */
    public boolean needsKey(final Route route) {
        return !mCustomers.isEmpty() && !route.allowsAnonymous();
    }

    /**
     * Finds the customer to whom an API key belongs.
     *
     * @param key the API key, may be null
     * @return the customer, or empty if the key is null or unknown
     */
    public Optional<RelayCustomer> customerOf(final String key) {
        return Optional.ofNullable(key == null ? null : mByKey.get(key));
    }
}
