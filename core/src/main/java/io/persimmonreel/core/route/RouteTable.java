package io.persimmonreel.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by its hostname and the longest matching path prefix. Immutable. */
public final class RouteTable {
    private final Map<String, Map<String, Route>> mByHost = new HashMap<>();
    private final List<Route> mRoutes;

    /**
     * Creates a table.
     *
     * @param routes the routes; of two with the same hostname and prefix, the first one is used
     */
    public RouteTable(final Collection<Route> routes) {
        mRoutes = List.copyOf(routes);
        for (final Route route : routes) {
            mByHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .putIfAbsent(route.prefix(), route);
        }
    }

    /**
     * Finds the route of a request.
     *
     * @param host the Host header of the request, with or without a port
     * @param target the request target; a query is ignored
     * @return the route with the longest matching prefix, or empty if none matches
     */
    public Optional<Route> find(final String host, final String target) {
        final Map<String, Route> prefixes = mByHost.get(hostname(host));
        if (prefixes == null) {
            return Optional.empty();
        }
        final int query = target.indexOf('?');
        final String path = query < 0 ? target : target.substring(0, query);
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            final Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    /**
     * Returns all routes.
     *
     * @return the routes in the order of the configuration
     */
    public List<Route> routes() {
        return mRoutes;
    }

    private static String hostname(final String host) {
        final int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
