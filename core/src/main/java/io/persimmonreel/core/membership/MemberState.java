package io.persimmonreel.core.membership;

/** Lists the states of a member. */
public enum MemberState {
    /** In the host list or connected, but without a heartbeat yet. */
    NEW,
    /** Heard within {@link FailureDetectorTimes#suspectAfterNanos}. */
    ALIVE,
    /** Not heard for longer than {@link FailureDetectorTimes#suspectAfterNanos}. */
    SUSPECT,
    /**
     * Not heard for longer than {@link FailureDetectorTimes#deadAfterNanos}, or replaced by a new
     * incarnation in its slot.
     */
    DEAD,
    /** Alive, but takes no new work because it is about to stop. */
    LEAVING
}
