package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.membership.HubTopology;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the daemons that this one is connected to, from the known members of the fleet.
 *
 * <p>Not thread safe.
 */
final class PeerLinks {
    private final InetSocketAddress mAddress;
    private final String mName;
    private final Set<InetSocketAddress> mSeeds = new HashSet<>();
    private Set<String> mKnown = Set.of();
    private HubTopology mTopology;

    /**
     * Creates links without known members.
     *
     * @param address where other daemons connect to this one
     * @param seeds addresses of daemons to try while no peer is connected
     */
    PeerLinks(final InetSocketAddress address, final Collection<InetSocketAddress> seeds) {
        mAddress = address;
        mName = text(address);
        mTopology = new HubTopology(mName, List.of());
        addSeeds(seeds);
    }

    /** Returns this daemon's own address as digests name it. */
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
     * Takes the known members.
     *
     * @param known the addresses of the other members
     * @return whether this daemon has another role than before
     */
    boolean onMembers(final Set<String> known) {
        if (known.equals(mKnown)) {
            return false;
        }
        mKnown = Set.copyOf(known);
        final HubTopology before = mTopology;
        mTopology = new HubTopology(mName, mKnown);
        return before.isMesh() != mTopology.isMesh() || before.isHub() != mTopology.isHub();
    }

    /**
     * Returns the addresses to connect to. Of two daemons of a mesh or two hubs, the one with the
     * higher address connects.
     *
     * @param connected the addresses of the connected peers
     * @return the addresses without a connection that this daemon opens
     */
    Set<InetSocketAddress> missing(final Collection<String> connected) {
        final Set<InetSocketAddress> missing = new HashSet<>();
        for (final String address : mTopology.links()) {
            if (isLeaf() || mName.compareTo(address) > 0) {
                missing.add(parse(address));
            }
        }
        if (mTopology.isMesh() || connected.isEmpty()) {
            missing.addAll(mSeeds);
        }
        connected.forEach(address -> missing.remove(parse(address)));
        missing.remove(mAddress);
        return missing;
    }

    /**
     * Tells whether a connection to a peer serves a purpose.
     *
     * @param address the address of the peer, empty if it has not named it yet
     * @return true for all peers in a mesh, for links, and for leaves of a hub
     */
    boolean isNeeded(final String address) {
        return mTopology.isMesh()
                || mTopology.isHub() && !mTopology.isHub(address)
                || mTopology.links().contains(address);
    }

    /**
     * Returns the peers whose digests this daemon adds up. The digests of both hubs of a leaf speak
     * for the whole fleet, so that a leaf takes one hub's only.
     *
     * @param heard the addresses of the peers that are heard
     * @return all of them, for a leaf at most one
     */
    Collection<String> counting(final Collection<String> heard) {
        return isLeaf() ? mTopology.countingHub(heard).map(Set::of).orElse(Set.of()) : heard;
    }

    /**
     * Tells whether a text names another daemon.
     *
     * @param address the text
     * @return whether it is an address and not this daemon's own
     */
    boolean isOther(final String address) {
        return !address.equals(mName) && parse(address) != null;
    }

    private static String text(final InetSocketAddress address) {
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
