package io.persimmonreel.core.membership;

/** Receives changes of members' states. Calls come from several threads and must not block. */
@FunctionalInterface
public interface MembershipListener {
    /**
     * Handles a change of a member's state.
     *
     * @param event the change
     */
    void onMembership(MembershipEvent event);
}
