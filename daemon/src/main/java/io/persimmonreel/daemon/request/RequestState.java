package io.persimmonreel.daemon.request;

import java.util.EnumSet;
import java.util.Set;

/** The states of a request. Transitions are made by compare-and-set. */
public enum RequestState {
    /** The request was read from the caller. */
    RECEIVED,
    /** The request waits for a claim on its identity. */
    CLAIMING,
    /** The request waits in the scheduler or for a connection; no byte was sent. */
    QUEUED,
    /** Bytes may have reached an upstream. */
    DISPATCHED,
    /** At least one token arrived. */
    STREAMING,
    /** The complete answer arrived, or that of an earlier request with the same identity. */
    DONE,
    /** The upstream answered with an error, or the request was stopped after its dispatch. */
    FAILED,
    /** It is not known whether the upstream ran the request. */
    UNKNOWN,
    /** The request was refused before dispatch and is never dispatched. */
    REFUSED;

    /**
     * Tells whether a transition is allowed.
     *
     * @param next the state after the transition
     * @return true if a request may go from this state to {@code next}
     */
    public boolean canTransitionTo(final RequestState next) {
        return successors().contains(next);
    }

    /**
     * Tells whether the state is final.
     *
     * @return true if no state follows
     */
    public boolean isFinal() {
        return successors().isEmpty();
    }

    private Set<RequestState> successors() {
        switch (this) {
            case RECEIVED:
                return EnumSet.of(CLAIMING, QUEUED, REFUSED);
            case CLAIMING:
                return EnumSet.of(QUEUED, DONE, REFUSED);
            case QUEUED:
                return EnumSet.of(DISPATCHED, REFUSED);
            case DISPATCHED:
                return EnumSet.of(STREAMING, DONE, FAILED, UNKNOWN);
            case STREAMING:
                return EnumSet.of(DONE, FAILED, UNKNOWN);
            default:
                return EnumSet.noneOf(RequestState.class);
        }
    }
}
