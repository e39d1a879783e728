package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.grant.ClaimReport;
import io.persimmonreel.core.grant.SlotAnswer;
import io.persimmonreel.core.replica.Replica;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;

/**
 * Asks for slots of replicas before requests are sent. The methods do nothing by default, so that
 * requests are placed without grants.
 */
interface SlotGate {
    /** Grants nothing. */
    SlotGate NONE = new SlotGate() {};

    /** Returns whether requests like this one need a grant if their upstream is not divided. */
    default boolean appliesTo(final RelayCall call) {
        return false;
    }

    /**
     * Claims a slot for a request, or returns what is known of its claim.
     *
     * @param call the request
     * @param permitted the replicas of its upstream whose rate limits permit a request
     * @param excluded ids of replicas that must not be used
     * @param nowNanos the current monotonic time in nanoseconds
     */
    default SlotAnswer ask(
            final RelayCall call,
            final Collection<Replica> permitted,
            final Set<String> excluded,
            final long nowNanos) {
        return SlotAnswer.NONE;
    }

    /** Describes the claim of a request; empty if requests like this one need no grant. */
    default Optional<ClaimReport> report(final RelayCall call) {
        return Optional.empty();
    }

    /** Records that a request is about to be sent to a replica, with or without a grant. */
    default void onSent(final RelayCall call, final Replica replica) {}

    /** Records that the response to a request is complete; its slot is released. */
    default void onServed(final RelayCall call, final long nowNanos) {}

    /** Releases the slot of a request or cancels its claim, if it has any. */
    default void release(final RelayCall call) {}

    /** Records the running and waiting requests that a replica states. */
    default void onStatedLoad(final Replica replica, final int requests, final long nowNanos) {}
}
