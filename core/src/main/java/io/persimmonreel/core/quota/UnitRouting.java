package io.persimmonreel.core.quota;

import io.persimmonreel.core.peer.Incarnation;
import java.util.Collection;
import java.util.Optional;

/** Chooses the peers with which a daemon exchanges units. */
public interface UnitRouting {
    /**
     * Returns the peer to which the unused units of a customer go, and which is asked for more.
     *
     * @param customer the customer's name
     * @return the peer, empty if this daemon collects the units itself or no peer is heard
     */
    Optional<Incarnation> collector(String customer);

    /**
     * Returns whether claims of a peer are passed on to the collector. Claims are passed on once at
     * most, since daemons may disagree about the collector.
     *
     * @param peer the peer
     * @return true for a leaf that depends on this daemon
     */
    boolean isForwardedFor(Incarnation peer);

    /**
     * Returns the peers that may send units to this daemon, or receive some.
     *
     * @return the peers
     */
    Collection<Incarnation> partners();

    /**
     * Returns the name of a peer.
     *
     * @param peer the peer
     * @return the address, empty if it is not known yet
     */
    String nameOf(Incarnation peer);
}
