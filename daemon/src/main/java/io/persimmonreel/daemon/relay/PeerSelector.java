package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.membership.HubTopology;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the peers that this daemon connects to from the known members of the fleet. Not thread
 * safe.
 */
final class PeerSelector {
    private final InetSocketAddress mAddress;
    private final String mName;
    private final Set<InetSocketAddress> mSeeds = new HashSet<>();
    private Set<String> mKnownMembers = Set.of();
    private HubTopology mTopology;

    /**
     * Creates a selector without known members.
     *
     * @param address the address at which other daemons connect to this one
     * @param seeds addresses of daemons to try while no peer is connected
     */
    PeerSelector(final InetSocketAddress address, final Collection<InetSocketAddress> seeds) {
        mAddress = address;
        mName = format(address);
        mTopology = new HubTopology(mName, List.of());
        addSeeds(seeds);
    }

    /** Returns this daemon's address as it appears in digests. */
    String name() {
        return mName;
    }

    HubTopology topology() {
        return mTopology;
    }

    boolean isLeaf() {
        return !mTopology.isMesh() && !mTopology.isHub();
    }

    boolean hasSeeds() {
        return !mSeeds.isEmpty();
    }

    void addSeeds(final Collection<InetSocketAddress> seeds) {
        mSeeds.addAll(seeds);
        mSeeds.remove(mAddress);
    }

    /**
     * Sets the known members.
     *
     * @param known the addresses of the other members
     * @return whether the role of this daemon (mesh, hub or leaf) changed
     */
    boolean onMembers(final Set<String> known) {
        if (known.equals(mKnownMembers)) {
            return false;
        }
        mKnownMembers = Set.copyOf(known);
        final HubTopology before = mTopology;
        mTopology = new HubTopology(mName, mKnownMembers);
        return before.isMesh() != mTopology.isMesh() || before.isHub() != mTopology.isHub();
    }

    /**
     * Returns the addresses that this daemon has to connect to. Of two daemons in a mesh, or of two
     * hubs, the one with the higher address connects.
     *
     * @param connected the addresses of the connected peers
     * @return the addresses without a connection that this daemon should open
     */
    Set<InetSocketAddress> addressesToConnect(final Collection<String> connected) {
        final Set<InetSocketAddress> addresses = new HashSet<>();
        for (final String address : mTopology.links()) {
            if (isLeaf() || mName.compareTo(address) > 0) {
                addresses.add(parse(address));
            }
        }
        if (mTopology.isMesh() || connected.isEmpty()) {
            addresses.addAll(mSeeds);
        }
        connected.forEach(address -> addresses.remove(parse(address)));
        addresses.remove(mAddress);
        return addresses;
    }

    /**
     * Returns whether a connection to a peer is needed.
     *
     * @param address the address of the peer, empty if it is not known yet
     * @return true for all peers in a mesh, for a hub's other hubs and its leaves, and for a leaf's
     *     own hubs
     */
    boolean isConnectionNeeded(final String address) {
        return mTopology.isMesh()
                || mTopology.isHub() && !mTopology.isHub(address)
                || mTopology.links().contains(address);
    }

    /**
     * Returns the peers with which this daemon exchanges work and use. The digests of both hubs of
     * a leaf contain the sums over the whole fleet, so a leaf uses only one hub.
     *
     * @param recent the addresses of the peers with a recent digest
     * @return for a leaf at most one hub, else all given addresses
     */
    Collection<String> workPeers(final Collection<String> recent) {
        return isLeaf() ? mTopology.hubInUse(recent).map(Set::of).orElse(Set.of()) : recent;
    }

    /**
     * Returns whether a text is the address of another daemon.
     *
     * @param address the text
     * @return true if it is a valid address and not this daemon's own
     */
    boolean isOther(final String address) {
        return !address.equals(mName) && parse(address) != null;
    }

    /** Returns an address as it appears in digests. */
    static String format(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress parse(final String address) {
        final int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (final IndexOutOfBoundsException | IllegalArgumentException e) {
            return null;
        }
    }
}
