package io.persimmonreel.core.admission;

/**
 * Decides whether a daemon that is leaving still accepts a request.
 *
 * <p>It answers the load of callers that keep using open connections after the daemon was told to
 * stop: a request that would be cut off at the end of the process is better served elsewhere.
 */
public final class LeaveRule {
    /** Output lengths are known to about this factor. */
    private static final double LENGTH_MARGIN = 2.5;

    /** Time in milliseconds for what is not predicted, such as a resend. */
    private static final double SPARE_MILLIS = 400;

    /**
     * Decides on a request.
     *
     * @param totalMillis the predicted time to the end of its answer in milliseconds
     * @param endMillis the time until the process ends in milliseconds
     * @return true if the answer will most likely be whole by then
     */
    public boolean accepts(final double totalMillis, final double endMillis) {
        return totalMillis * LENGTH_MARGIN + SPARE_MILLIS <= endMillis;
    }
}
