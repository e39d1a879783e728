package io.persimmonreel.core.grant;

import io.persimmonreel.core.peer.Incarnation;
import java.util.Collection;
import java.util.Optional;

/** Tells which daemons grant slots, and what this one knows of the replicas. */
public interface SlotRouting {
    /**
     * Returns whether this daemon grants the slots of an upstream.
     *
     * @param upstream the upstream's name
     * @return true if this daemon is the collector of the upstream's name
     */
    boolean isGranter(String upstream);

    /**
     * Returns the peer to which claims for an upstream go.
     *
     * @param upstream the upstream's name
     * @return for a leaf its hub, for a hub the granter, empty if there is none
     */
    Optional<Incarnation> collector(String upstream);

    /**
     * Returns whether claims of a peer are forwarded. They are forwarded once at most, since
     * daemons may disagree about the granter.
     *
     * @param peer the peer
     * @return true for a leaf that depends on this daemon
     */
    boolean isForwardedFor(Incarnation peer);

    /**
     * Finds a connected peer.
     *
     * @param address the peer's address
     * @return the peer, empty if it is not connected
     */
    Optional<Incarnation> peer(String address);

    /**
     * Returns the fraction of the slots that this daemon may grant.
     *
     * @return the daemons that it hears from, divided by all known ones
     */
    double share();

    /**
     * Returns the replicas of an upstream.
     *
     * @param upstream the upstream's name
     * @return the replicas, empty if the upstream is unknown
     */
    Collection<ReplicaSlots> replicas(String upstream);
}
