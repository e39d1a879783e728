package io.persimmonreel.core.objective;

import io.persimmonreel.core.service.Tier;
import java.util.EnumMap;
import java.util.Map;

/**
 * Reports how the requests of one service and tier met the service's objective.
 *
 * @param service the service's id
 * @param tier the tier of the counted requests
 * @param target the share of requests that must be good, below 1
 * @param total the requests since the daemon's start
 * @param windows the requests in each window
 */
public record ServiceObjective(
        String service,
        Tier tier,
        double target,
        RequestCount total,
        Map<ObjectiveWindow, RequestCount> windows) {
    /** At this burn rate the error budget of 30 days would be spent in two days. */
    public static final double FAST_BURN = 14.4;

    /** At this burn rate the error budget of 30 days would be spent in five days. */
    public static final double SLOW_BURN = 6.0;

    /** No alert below this number, since one or two bad requests at low traffic show no rate. */
    public static final long MINIMUM_BAD_REQUESTS = 3;

    /** Copies the map. */
    public ServiceObjective {
        windows = Map.copyOf(windows);
    }

    /**
     * Returns the burn rate over a window.
     *
     * @param window the window
     * @return the burn rate, 1 if exactly the budget is used
     */
    public double burnRate(final ObjectiveWindow window) {
        return windows.getOrDefault(window, RequestCount.NONE).burnRate(target);
    }

    /**
     * Returns the spent part of the error budget of all requests since the daemon's start.
     *
     * @return 0 if nothing is spent, 1 if the whole budget is spent, above 1 if it is overdrawn
     */
    public double budgetSpent() {
        return total.burnRate(target);
    }

    /**
     * Tells whether the budget burns so fast that an operator must act at once. The short window
     * ends the alert soon after the fault ends.
     *
     * @return true if the burn rate is at least 14.4 over 5 min and 1 h, with at least three bad
     *     requests in 1 h
     */
    public boolean isFastAlert() {
        return burns(FAST_BURN, ObjectiveWindow.FIVE_MINUTES, ObjectiveWindow.ONE_HOUR);
    }

    /**
     * Tells whether the budget burns slowly but steadily.
     *
     * @return true if the burn rate is at least 6 over 30 min and 6 h, with at least three bad
     *     requests in 6 h
     */
    public boolean isSlowAlert() {
        return burns(SLOW_BURN, ObjectiveWindow.THIRTY_MINUTES, ObjectiveWindow.SIX_HOURS);
    }

    private boolean burns(
            final double threshold,
            final ObjectiveWindow shortWindow,
            final ObjectiveWindow longWindow) {
        final RequestCount count = windows.getOrDefault(longWindow, RequestCount.NONE);
        return count.offered() - count.good() >= MINIMUM_BAD_REQUESTS
                && burnRate(shortWindow) >= threshold
                && burnRate(longWindow) >= threshold;
    }

    /**
     * Adds the counts of another daemon.
     *
     * @param other the report of the same service and tier
     * @return the sum, with the stricter target if the daemons have different configurations
     */
    public ServiceObjective plus(final ServiceObjective other) {
        final Map<ObjectiveWindow, RequestCount> sums = new EnumMap<>(ObjectiveWindow.class);
        sums.putAll(windows);
        other.windows.forEach((window, count) -> sums.merge(window, count, RequestCount::plus));
        return new ServiceObjective(
                service, tier, Math.max(target, other.target), total.plus(other.total), sums);
    }
}
