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
