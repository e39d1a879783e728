package io.persimmonreel.core.admission;

/**
 * Decides whether a daemon that is shutting down still accepts a request.
 *
 * <p>Callers keep using open connections after the daemon was told to stop. A request that would be
 * cut off at the end of the process is better served by another daemon.
 */
public final class ShutdownAdmission {
    /** The actual output may be longer than the estimate by about this factor. */
    private static final double LENGTH_MARGIN = 2.5;

    /** Reserve in milliseconds for delays that are not predicted, such as a resend. */
    private static final double RESERVE_MILLIS = 400;

    /**
     * Decides whether a request is accepted.
     *
     * @param totalMillis the predicted time to the end of its response in milliseconds
     * @param endMillis the time until the process ends in milliseconds
     * @return true if the response will most likely be complete by then
     */
    public boolean accepts(final double totalMillis, final double endMillis) {
        return totalMillis * LENGTH_MARGIN + RESERVE_MILLIS <= endMillis;
    }
}
