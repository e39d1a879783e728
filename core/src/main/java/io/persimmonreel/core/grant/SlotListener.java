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

    /**
     * Handles that this daemon stops asking a granter for a while.
     *
     * @param upstream the upstream's name
     * @param silence what was not answered
     */
    default void onSilence(final String upstream, final GranterSilence silence) {}

    /**
     * Handles the first answer that comes after this daemon stopped asking its granter.
     *
     * @param upstream the upstream's name
     * @param afterMillis the time from the unanswered claim to this answer in milliseconds
     */
    default void onLateAnswer(final String upstream, final double afterMillis) {}

    /**
     * Handles what becomes of a claim at the granter, which may be one of another daemon.
     *
     * @param upstream the upstream's name
     * @param rank the priority rank of the request, 0 is the highest
     * @param outcome what became of the claim
     */
    default void onClaim(final String upstream, final int rank, final ClaimOutcome outcome) {}

    /**
     * Handles that the granter ordered the claims that wait.
     *
     * @param upstream the upstream's name
     * @param claims the number of claims
     */
    default void onOrdered(final String upstream, final int claims) {}

    /** Lists what becomes of claims at the granter. */
    enum ClaimOutcome {
        /** The claim was queued. */
        QUEUED,
        /** A slot was granted. */
        GRANTED,
        /** The claim was cancelled, or its time was over, before there was a slot. */
        ENDED
    }

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
