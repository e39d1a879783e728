package io.persimmonreel.core.membership;

/** Lists the states of a member. */
public enum MemberState {
    /** In the host list or connected, but without a heartbeat yet. */
    NEW,
    /** Heard within {@link MembershipTimes#suspectNanos}. */
    ALIVE,
    /** Not heard for longer than {@link MembershipTimes#suspectNanos}. */
    SUSPECT,
    /**
     * Not heard for longer than {@link MembershipTimes#deadNanos}, or replaced by a new incarnation
     * in its slot.
     */
    DEAD,
    /** Alive, but takes no new work because it is about to stop. */
    LEAVING
}
