package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;

/**
 * Describes a change of a member's state.
 *
 * @param member the member
 * @param slot the member's slot
 * @param from the state before the change, null for a member that was not known
 * @param to the state after the change
 * @param reason why the state changed, a short phrase
 */
public record MembershipEvent(
        Incarnation member, int slot, MemberState from, MemberState to, String reason) {}
