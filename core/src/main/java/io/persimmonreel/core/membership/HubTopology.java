package io.persimmonreel.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the daemons that a daemon exchanges digests with, from its address and those of all known
 * daemons. Daemons with the same view choose alike.
 *
 * <p>A small fleet is a mesh. In a larger one about the square root of the daemons are hubs, which
 * form a mesh and speak for the leaves that are connected to them, so that the connections of a
 * daemon grow with the square root of the fleet. A hub is a daemon like any other; when it falls
 * silent, its leaves turn to their second one.
 */
public final class HubTopology {
    /** The largest fleet in which every daemon exchanges digests with every other one. */
    public static final int MESH_UP_TO = 16;

    /** Hubs of a leaf: the one that counts it, and one to turn to. */
    private static final int HUBS_OF_A_LEAF = 2;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final String mSelf;
    private final Set<String> mHubs;
    private final Set<String> mMembers;
    private final List<String> mOwnHubs;

    /**
     * Creates the topology that a daemon sees.
     *
     * @param self the daemon's address
     * @param others the addresses of the other known daemons
     */
    public HubTopology(final String self, final Collection<String> others) {
        mSelf = self;
        mMembers = new HashSet<>(others);
        mMembers.add(self);
        mHubs = mMembers.size() <= MESH_UP_TO ? Set.of() : hubs(mMembers);
        mOwnHubs = mHubs.isEmpty() || mHubs.contains(self) ? List.of() : ownHubs(self, mHubs);
    }

    /**
     * Tells whether the fleet is a mesh.
     *
     * @return true if there are no hubs
     */
    public boolean isMesh() {
        return mHubs.isEmpty();
    }

    /**
     * Tells whether this daemon is a hub.
     *
     * @return true for hubs, false in a mesh
     */
    public boolean isHub() {
        return mHubs.contains(mSelf);
    }

    /**
     * Tells whether another daemon is a hub.
     *
     * @param address the daemon's address
     * @return true for hubs, false in a mesh
     */
    public boolean isHub(final String address) {
        return mHubs.contains(address);
    }

    /**
     * Returns the hubs of this daemon, in the order in which it turns to them.
     *
     * @return the addresses, empty in a mesh and for a hub
     */
    public List<String> ownHubs() {
        return mOwnHubs;
    }

    /**
     * Returns the daemons that this one connects to.
     *
     * @return all others in a mesh, the other hubs for a hub, its own hubs for a leaf
     */
    public Set<String> links() {
        final Set<String> links = new HashSet<>();
        if (isMesh()) {
            links.addAll(mMembers);
        } else if (isHub()) {
            links.addAll(mHubs);
        } else {
            links.addAll(mOwnHubs);
        }
        links.remove(mSelf);
        return links;
    }

    /**
     * Returns the first hub of this daemon that is heard.
     *
     * @param heard the addresses of daemons that are heard
     * @return the hub that counts this daemon, or empty
     */
    public Optional<String> countingHub(final Collection<String> heard) {
        return mOwnHubs.stream().filter(heard::contains).findFirst();
    }

    private static List<String> ownHubs(final String self, final Set<String> hubs) {
        return hubs.stream()
                .sorted(Comparator.comparingLong(hub -> HASHER.hashCharsToLong(self + hub)))
                .limit(HUBS_OF_A_LEAF)
                .toList();
    }

    private static Set<String> hubs(final Collection<String> members) {
        final int count = (int) Math.ceil(Math.sqrt(members.size()));
        final List<String> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparingLong(HASHER::hashCharsToLong));
        return Set.copyOf(sorted.subList(0, count));
    }
}
