package io.persimmonreel.core.grant;

/**
 * Contains what is known of the claim of a request.
 *
 * @param state the state
 * @param replica the id of the granted replica, empty without a grant
 * @param waitMillis the expected wait in milliseconds, 0 if unknown
 */
public record SlotAnswer(State state, String replica, double waitMillis) {
    /** Describes a request that nobody grants a slot to, so it is placed without a grant. */
    public static final SlotAnswer NONE = new SlotAnswer(State.NONE, "", 0);

    /** Describes a claim without an answer yet. */
    public static final SlotAnswer ASKED = new SlotAnswer(State.ASKED, "", 0);

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Returns this answer some time after it arrived.
     *
     * @param nanos the time since then in nanoseconds
     * @return the same answer, with the rest of the expected wait
     */
    public SlotAnswer after(final long nanos) {
        return state == State.WAITING
                ? new SlotAnswer(state, replica, Math.max(0, waitMillis - nanos / NANOS_PER_MILLI))
                : this;
    }

    /** Lists the states of a claim. */
    public enum State {
        /** There is no granter, or it does not answer. */
        NONE,
        /** The granter was asked. */
        ASKED,
        /** The granter has queued the claim. */
        WAITING,
        /** A slot is granted. */
        GRANTED
    }
}
