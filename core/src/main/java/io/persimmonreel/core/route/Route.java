package io.persimmonreel.core.route;

import java.util.List;

/**
 * Describes a route of relayed requests.
 *
 * @param name the name
 * @param host the host that callers name, in lower case
 * @param prefix the start of the paths, with a slash at both ends
 * @param repeat what may be repeated
 * @param timeoutMillis the longest time in milliseconds that a request is kept
 * @param objectiveMillis the time in milliseconds within which an answer, or the first event of a
 *     stream, is on time
 * @param pauseObjectiveMillis the longest pause in milliseconds between events of a stream that is
 *     on time
 * @param rank the urgency, 0 is the most urgent
 * @param upstreams the upstreams with their weights, not empty
 * @param maximumAttempts the most replicas that one client attempt may be sent to
 * @param open whether callers need no key
 * @param affinity whether requests name prompt parts that replicas may hold in memory
 */
public record Route(
        String name,
        String host,
        String prefix,
        RepeatRule repeat,
        long timeoutMillis,
        long objectiveMillis,
        long pauseObjectiveMillis,
        int rank,
        List<WeightedUpstream> upstreams,
        int maximumAttempts,
        boolean open,
        boolean affinity) {
    /** Copies the list of upstreams. */
    public Route {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Names an upstream and its share of a route's requests.
     *
     * @param upstream the upstream's name
     * @param weight the weight, at least 0
     */
    public record WeightedUpstream(String upstream, int weight) {}

    /**
     * Picks the upstream of a request by weight.
     *
     * @param draw a number from 0 to below 1
     * @return the upstream's name
     */
    public String pickUpstream(final double draw) {
        if (upstreams.size() == 1) {
            return upstreams.get(0).upstream();
        }
        final long total = upstreams.stream().mapToLong(WeightedUpstream::weight).sum();
        double left = draw * total;
        for (final WeightedUpstream candidate : upstreams) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.upstream();
            }
        }
        return upstreams.get(upstreams.size() - 1).upstream();
    }
}
