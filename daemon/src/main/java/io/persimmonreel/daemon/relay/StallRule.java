package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.route.Route;

/** Decides how long a replica may be silent before it counts as failed for a request. */
final class StallRule {
    /** Predictions of the first event err by about this factor. */
    private static final double PREDICTION_FACTOR = 3.0;

    /** The least time allowed for a first event or answer, as a factor of the objective. */
    private static final double OBJECTIVE_FACTOR = 1.5;

    /** The pause within a stream that counts as failure, as a factor of its objective. */
    private static final double PAUSE_FACTOR = 3.0;

    /** The shortest pause within a stream that counts as failure, in milliseconds. */
    private static final double LEAST_PAUSE_MILLIS = 900;

    /**
     * Returns the limit of silence.
     *
     * @param route the route of the request
     * @param sending the send, with what was predicted for it
     * @return milliseconds
     */
    double limitMillis(final Route route, final Sending sending) {
        if (sending.hasEvents()) {
            return Math.max(LEAST_PAUSE_MILLIS, PAUSE_FACTOR * route.pauseObjectiveMillis());
        }
        return Math.max(
                OBJECTIVE_FACTOR * route.objectiveMillis(),
                PREDICTION_FACTOR * sending.choice().firstMillis());
    }
}
