package io.persimmonreel.core.quota;

/**
 * Describes how a customer's units accrue in the whole fleet.
 *
 * <p>Units that are spent in a window have accrued in the window or within one life before it, so
 * at most {@code ratePerSecond} times the sum of the window and the life are spent in any window.
 *
 * @param ratePerSecond the units that accrue in a second
 * @param lifeNanos the time after which an unspent unit expires, in nanoseconds
 */
record Allowance(double ratePerSecond, long lifeNanos) {
    /** Returns whether a change to this allowance lowers what a customer may use. */
    boolean isBelow(final Allowance other) {
        return ratePerSecond < other.ratePerSecond;
    }
}
