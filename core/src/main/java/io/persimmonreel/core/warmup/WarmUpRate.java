package io.persimmonreel.core.warmup;

/**
 * Contains the rate and the number of daemons that keep the arrivals at a cold replica within their
 * bound.
 *
 * <p>Each of the daemons that may send holds at most one unused permit, and all of them together
 * get {@code perSecond} permits a second. So they send at most {@code senders + perSecond x T}
 * requests in T seconds. Requests that arrive within one second were sent within {@code 1 +} {@link
 * #LATENCY_SECONDS}, which gives the sum
 *
 * <pre>senders + perSecond x (1 + LATENCY_SECONDS) &lt;= bound</pre>
 *
 * @param perSecond the permits per second of all daemons together
 * @param senders the most daemons that may send to the same cold replica
 */
public record WarmUpRate(double perSecond, int senders) {
    /** A rate that allows no request. */
    public static final WarmUpRate NONE = new WarmUpRate(0, 0);

    /**
     * The margin for differences in latency, in seconds. A request is written within 100 ms of its
     * permit, and a long prompt takes up to some 100 ms on the slowest links (7 Mbit/s).
     */
    static final double LATENCY_SECONDS = 0.25;

    /**
     * Derives the rate from the bound: at most the rate that the replica takes, and as many daemons
     * as the rest of the bound allows.
     *
     * @param bound the bound on arrivals
     * @param requestsPerSecond the requests per second that a cold replica takes
     * @return the rate, {@link #NONE} if the bound does not allow a single request in a second
     */
    public static WarmUpRate of(final WarmUpBound bound, final double requestsPerSecond) {
        final double maximum = bound.maximumPerSecond(requestsPerSecond);
        final double rest = maximum - requestsPerSecond * (1 + LATENCY_SECONDS);
        final int senders = (int) Math.max(1, Math.floor(rest));
        final double perSecond =
                Math.min(requestsPerSecond, (maximum - senders) / (1 + LATENCY_SECONDS));
        return perSecond > 0 ? new WarmUpRate(perSecond, senders) : NONE;
    }
}
