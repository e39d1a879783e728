package io.persimmonreel.core.customer;

/**
 * The result of checking a request against a customer's quota.
 *
 * @param verdict whether the request is admitted, or why it is refused
 * @param retryAfterMillis the time in milliseconds after which a refused request may be admitted; 0
 *     if it was admitted
 */
public record QuotaDecision(Verdict verdict, long retryAfterMillis) {
    /** Lists the results of the check. */
    public enum Verdict {
        /** The request is admitted and counts as in progress until it is released. */
        ADMITTED,
        /** The customer has the largest allowed number of requests in progress on this daemon. */
        TOO_MANY_CONCURRENT,
        /** The customer's token bucket on this daemon is empty. */
        TOO_MANY_PER_SECOND,
        /** The configuration in force has no such customer. */
        UNKNOWN_CUSTOMER
    }

    /**
     * Tells whether the request was admitted.
     *
     * @return true if it was admitted
     */
    public boolean isAdmitted() {
        return verdict == Verdict.ADMITTED;
    }
}
