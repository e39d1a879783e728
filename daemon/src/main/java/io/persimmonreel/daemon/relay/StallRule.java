package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.route.Route;

/** Decides how long a replica may be silent before it counts as failed for a request. */
final class StallRule {
    /** Prompts of this size show the speed of reading; shorter ones show the fixed cost. */
    static final int LONG_PROMPT_TOKENS = 1_500;

    /** A replica that fails this part of its requests may have crashed. */
    static final double CRASH_RATE = 0.3;

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
     * @param choice what was predicted
     * @param started whether the first event arrived
     * @return milliseconds
     */
    double limitMillis(final Route route, final Choice choice, final boolean started) {
        if (started) {
            return Math.max(LEAST_PAUSE_MILLIS, PAUSE_FACTOR * route.pauseObjectiveMillis());
        }
        return Math.max(
                OBJECTIVE_FACTOR * route.objectiveMillis(),
                PREDICTION_FACTOR * choice.firstMillis());
    }
}
