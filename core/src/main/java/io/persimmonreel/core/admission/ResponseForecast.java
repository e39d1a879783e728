package io.persimmonreel.core.admission;

/**
 * Describes how long a response takes from now on. Immutable.
 *
 * @param expectedMillis the expected time to the end of the response in milliseconds
 * @param longestMillis the time in milliseconds by which the response has ended in any case,
 *     infinite if nothing limits its length
 */
public record ResponseForecast(double expectedMillis, double longestMillis) {
    /** A replica may generate tokens more slowly than measured by about this factor. */
    private static final double SLOWDOWN_MARGIN = 1.5;

    /** The service time of a plain request may exceed the mean by about this factor. */
    private static final double PLAIN_MARGIN = 8;

    /**
     * Describes the response of an engine, which generates tokens up to a limit.
     *
     * @param expectedMillis the expected time to the end of the response in milliseconds
     * @param expectedTokens the expected number of output tokens
     * @param maximumTokens the maximum number of output tokens that the request states, 0 or
     *     negative if it states none
     * @param tokenMillis the time to generate one token in milliseconds
     * @return the forecast
     */
    public static ResponseForecast ofTokens(
            final double expectedMillis,
            final int expectedTokens,
            final int maximumTokens,
            final double tokenMillis) {
        if (maximumTokens <= 0) {
            return new ResponseForecast(expectedMillis, Double.POSITIVE_INFINITY);
        }
        final int furtherTokens = Math.max(0, maximumTokens - expectedTokens);
        return new ResponseForecast(
                expectedMillis, (expectedMillis + furtherTokens * tokenMillis) * SLOWDOWN_MARGIN);
    }

    /**
     * Describes the response of a plain service.
     *
     * @param expectedMillis the expected time to the end of the response in milliseconds
     * @return the forecast
     */
    public static ResponseForecast ofPlainService(final double expectedMillis) {
        return new ResponseForecast(expectedMillis, expectedMillis * PLAIN_MARGIN);
    }

    /**
     * Returns this forecast for a request that is ended at its deadline.
     *
     * @param millisLeft the time until the deadline in milliseconds
     * @return the forecast, whose longest time is at most {@code millisLeft}
     */
    public ResponseForecast withDeadline(final double millisLeft) {
        return new ResponseForecast(expectedMillis, Math.min(longestMillis, millisLeft));
    }
}
