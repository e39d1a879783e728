package io.persimmonreel.core.admission;

/**
 * Decides whether a daemon that is shutting down still accepts a request.
 *
 * <p>Callers keep using open connections after the daemon was told to stop. A response that is cut
 * off at the end of the process costs its caller all the time that it took, while a refused caller
 * repeats the request at another daemon at once.
 */
public final class ShutdownAdmission {
    /** The actual output may be longer than the estimate by about this factor. */
    private static final double LENGTH_MARGIN = 2.5;

    /** Reserve in milliseconds for delays that are not predicted, such as a resend. */
    private static final double RESERVE_MILLIS = 400;

    /**
     * Decides whether a request is accepted.
     *
     * <p>Before load balancers have reacted to the shutdown, refused callers would come in numbers
     * and some of them back to this daemon, so a response only has to be complete in time most
     * likely. Afterwards it has to be complete in time at its greatest length.
     *
     * @param forecast how long the response takes
     * @param balancersReacted whether load balancers direct callers to other daemons
     * @param endMillis the time until the process ends in milliseconds
     * @return true if the request is accepted
     */
    public boolean accepts(
            final ResponseForecast forecast,
            final boolean balancersReacted,
            final double endMillis) {
        final double neededMillis =
                balancersReacted
                        ? forecast.longestMillis()
                        : Math.min(
                                forecast.expectedMillis() * LENGTH_MARGIN,
                                forecast.longestMillis());
        return neededMillis + RESERVE_MILLIS <= endMillis;
    }
}
