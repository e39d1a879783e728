package io.persimmonreel.core.route;

import java.util.List;

/**
 * Defines how requests with a hostname and a path prefix are relayed.
 *
 * @param name the route's name
 * @param host the hostname in the requests, in lower case
 * @param prefix the prefix of the paths, which begins and ends with a slash
 * @param resendRule whether requests may be sent again
 * @param timeoutMillis the maximum time in milliseconds until a request ends
 * @param objectiveMillis the time in milliseconds within which a response, or the first event of a
 *     stream, is on time
 * @param gapObjectiveMillis the maximum time in milliseconds between two events of a stream for the
 *     next one to be on time
 * @param patienceMillis the time in milliseconds without an event after which callers leave a
 *     stream, also before its first event; not used for other routes
 * @param rank the priority, 0 is the highest
 * @param upstreams the upstreams with their weights, not empty
 * @param maximumAttempts the maximum number of replicas that one attempt of a caller is sent to
 * @param allowsAnonymous whether callers need no API key
 * @param affinity whether requests name prompt parts that replicas may have cached
 */
public record Route(
        String name,
        String host,
        String prefix,
        ResendRule resendRule,
        long timeoutMillis,
        long objectiveMillis,
        long gapObjectiveMillis,
        long patienceMillis,
        int rank,
        List<WeightedUpstream> upstreams,
        int maximumAttempts,
        boolean allowsAnonymous,
        boolean affinity) {
    /** Copies the list of upstreams. */
    public Route {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Assigns a weight to an upstream of a route.
     *
     * @param upstream the upstream's name
     * @param weight the weight relative to the other upstreams of the route, at least 0
     */
    public record WeightedUpstream(String upstream, int weight) {}

    /**
     * Chooses an upstream for a request at random by weight.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     * @return the upstream's name
     */
    public String pickUpstream(final double draw) {
        if (upstreams.size() == 1) {
            return upstreams.get(0).upstream();
        }
        final long total = upstreams.stream().mapToLong(WeightedUpstream::weight).sum();
        double remaining = draw * total;
        for (final WeightedUpstream candidate : upstreams) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.upstream();
            }
        }
        return upstreams.get(upstreams.size() - 1).upstream();
    }
}
