package io.persimmonreel.core.grant;

/** Observes what becomes of claims. */
public interface SlotListener {
    /**
     * Handles an event of a claim.
     *
     * @param upstream the upstream's name
     * @param event the event
     */
    void onEvent(String upstream, Event event);

    /** Lists the events. */
    enum Event {
        /** This daemon claimed a slot. */
        CLAIMED,
        /** This daemon was granted a slot. */
        GRANTED,
        /** This daemon was told to wait. */
        WAITING,
        /** A claim of this daemon was not answered in time; it does not ask for a while. */
        UNANSWERED,
        /** This daemon begins to grant the slots of the upstream. */
        GRANTER_STARTED,
        /** This daemon no longer grants the slots of the upstream. */
        GRANTER_ENDED
    }
}
