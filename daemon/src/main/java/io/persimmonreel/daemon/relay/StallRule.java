package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.route.Route;

/** Determines how long a replica may be silent before it counts as stalled for a request. */
final class StallRule {
    /**
     * The allowed time for a first event or response, as a factor of its prediction; predictions
     * are wrong by up to about this factor.
     */
    private static final double PREDICTION_FACTOR = 3.0;

    /** The gap within a stream that counts as a stall, as a factor of the route's gap objective. */
    private static final double GAP_FACTOR = 3.0;

    /** The minimum gap within a stream that counts as a stall, in milliseconds. */
    private static final double MINIMUM_GAP_MILLIS = 900;

    /**
     * Returns how long the replica may be silent.
     *
     * @param route the route of the request
     * @param dispatch the dispatch with its predicted time to the first event
     * @return the limit in milliseconds
     */
    double limitMillis(final Route route, final Dispatch dispatch) {
        if (dispatch.hasEvents()) {
            return Math.max(MINIMUM_GAP_MILLIS, GAP_FACTOR * route.gapObjectiveMillis());
        }
        // Before that, the response may still come sooner than one of another replica would.
        final double predicted = dispatch.choice().firstMillis();
        final double overdue =
                Math.max(route.objectiveMillis() + predicted, PREDICTION_FACTOR * predicted);
        if (!route.resendRule().isStream()) {
            return overdue;
        }
        // Another replica must be able to send its first event before the caller leaves.
        return Math.min(
                overdue, Math.max(route.objectiveMillis(), route.patienceMillis() - predicted));
    }
}
