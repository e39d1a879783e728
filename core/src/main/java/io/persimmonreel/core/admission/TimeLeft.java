package io.persimmonreel.core.admission;

/**
 * Contains the time that a caller has left. All times are in milliseconds from now on and negative
 * once they are over. Immutable.
 *
 * @param objectiveMillis the time within which the first event, or the response of a plain service,
 *     is on time
 * @param firstEventMillis the time until the caller leaves unless it has received an event
 * @param deadlineMillis the time until the caller's deadline
 */
public record TimeLeft(double objectiveMillis, double firstEventMillis, double deadlineMillis) {
    /**
     * Returns until when a request has to get a slot to be served before its caller leaves.
     *
     * @param run how long the response takes
     * @return the time in milliseconds, negative if it can't be served any more
     */
    public double latestStartMillis(final RunForecast run) {
        return Math.min(firstEventMillis - run.firstMillis(), deadlineMillis - run.totalMillis());
    }

    /**
     * Returns until when a request has to get a slot to be on time.
     *
     * @param run how long the response takes
     * @return the time in milliseconds, negative if it can't be on time any more
     */
    public double latestPunctualStartMillis(final RunForecast run) {
        return objectiveMillis - run.firstMillis();
    }
}
