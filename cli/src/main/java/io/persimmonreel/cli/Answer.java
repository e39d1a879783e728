package io.persimmonreel.cli;

/**
 * Represents the result of one request: an answer, a problem, or a connection that ended with
 * neither.
 *
 * @param status the HTTP status, 0 if no response arrived
 * @param requestId the request id, empty if none arrived
 * @param outcome {@code ran} for a complete answer, else the outcome of the problem; {@code
 *     unknown} if the connection ended with neither
 * @param type the type of the problem, empty if there is none
 * @param detail the detail of the problem or fault, empty if there is none
 * @param retryAfterMillis the delay in milliseconds after which to retry, 0 if none is given
 * @param text the text of an engine's answer, or the body of a plain service's
 * @param tokens the number of tokens, 0 for a plain service
 * @param fault why the answer is incomplete, wrong or of another request, empty if it is correct
 * @param firstNanos the time to the first token, or to the answer, in nanoseconds
 * @param totalNanos the time to the end of the answer in nanoseconds
 */
record Answer(
        int status,
        String requestId,
        String outcome,
        String type,
        String detail,
        long retryAfterMillis,
        String text,
        int tokens,
        String fault,
        long firstNanos,
        long totalNanos) {
    /** Outcome of a request whose connection ended with neither an answer nor a problem. */
    static final String UNKNOWN = "unknown";

    /** Outcome of a request that was answered. */
    static final String RAN = "ran";

    /** Returns the result of a request whose connection ended with neither answer nor problem. */
    static Answer lost(final int status, final String requestId, final String detail) {
        return new Answer(status, requestId, UNKNOWN, "", detail, 0, "", 0, "", 0, 0);
    }

    /** Tells whether a complete answer arrived, even if it has a fault. */
    boolean isAnswered() {
        return status == 200 && type.isEmpty() && RAN.equals(outcome);
    }

    /** Tells whether a complete answer without a fault arrived. */
    boolean isGood() {
        return isAnswered() && fault.isEmpty();
    }

    /** Returns a copy with a fault. */
    Answer withFault(final String value) {
        return new Answer(
                status,
                requestId,
                outcome,
                type,
                detail,
                retryAfterMillis,
                text,
                tokens,
                value,
                firstNanos,
                totalNanos);
    }

    /** Returns a copy with times. */
    Answer withTimes(final long first, final long total) {
        return new Answer(
                status,
                requestId,
                outcome,
                type,
                detail,
                retryAfterMillis,
                text,
                tokens,
                fault,
                first,
                total);
    }
}
