package io.persimmonreel.core.quota;

import java.util.Objects;

/**
 * Describes why a claim on units was refused.
 *
 * @param cause the cause
 * @param retryMillis the estimated time until the units are available, in milliseconds
 */
public record ClaimRefusal(Cause cause, long retryMillis) {
    /** Checks that a cause is given. */
    public ClaimRefusal {
        Objects.requireNonNull(cause, "cause");
    }

    /** Lists the causes for which claims are refused. */
    public enum Cause {
        /** The daemon that collects the customer's units refused the claim. */
        COLLECTOR_REFUSED("collector-refused"),
        /** That daemon refused another claim shortly before, so this one was not sent to it. */
        COLLECTOR_REFUSED_RECENTLY("collector-refused-recently"),
        /** The claims before it need more time than a claim may wait. */
        CLAIMS_BEFORE_IT("claims-before-it"),
        /** It needs more units than can be in store at once. */
        TOO_LARGE("too-large"),
        /** It waited as long as a claim may. */
        WAITED("waited");

        private final String mLabel;

        Cause(final String label) {
            mLabel = label;
        }

        /**
         * Returns the name in logs and metrics.
         *
         * @return the name
         */
        public String label() {
            return mLabel;
        }
    }
}
