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
import java.util.stream.Stream;

/**
 * Chooses the daemons that a daemon exchanges digests of relayed work with, from the addresses of
 * all known daemons. Daemons that know the same addresses agree on the topology.
 *
 * <p>A small fleet is a full mesh. In a larger one, the square root of the number of daemons,
 * rounded up, are hubs. The hubs form a full mesh; all other daemons are leaves, which connect to
 * two hubs only. A hub passes on the digests of its leaves, so the connections of a daemon grow
 * with the square root of the fleet. Hubs do all other work of a daemon too. A leaf whose first hub
 * is silent uses its second one.
 */
public final class HubTopology {
    /** The largest fleet, in daemons, in which every daemon connects to every other one. */
    public static final int MAXIMUM_MESH_DAEMONS = 16;

    /** A leaf has the hub that it uses, and a second one for when the first is silent. */
    private static final int HUBS_PER_LEAF = 2;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final String mSelf;
    private final Set<String> mHubs;
    private final Set<String> mMembers;
    private final List<String> mOwnHubs;

    /**
     * Creates the topology as one daemon sees it.
     *
     * @param self the daemon's address
     * @param others the addresses of the other known daemons
     */
    public HubTopology(final String self, final Collection<String> others) {
        mSelf = self;
        mMembers = new HashSet<>(others);
        mMembers.add(self);
        mHubs = mMembers.size() <= MAXIMUM_MESH_DAEMONS ? Set.of() : hubs(mMembers);
        mOwnHubs = mHubs.isEmpty() || mHubs.contains(self) ? List.of() : ownHubs(self, mHubs);
    }

    /**
     * Tells whether the fleet is a full mesh.
     *
     * @return true if there are no hubs
     */
    public boolean isMesh() {
        return mHubs.isEmpty();
    }

    /**
     * Returns the number of known daemons.
     *
     * @return the daemons, this one included
     */
    public int size() {
        return mMembers.size();
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
     * Returns the hubs that this leaf connects to, the preferred one first.
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
     * Returns the preferred hub of this leaf among those that are heard.
     *
     * @param heard the addresses of daemons that are heard
     * @return the hub whose digests this daemon uses, or empty if none is heard
     */
    public Optional<String> hubInUse(final Collection<String> heard) {
        return mOwnHubs.stream().filter(heard::contains).findFirst();
    }

    /**
     * Returns the daemon that collects something of the fleet for a key, as far as this daemon
     * knows. Others may collect for the same key while they hear other daemons.
     *
     * @param key the key
     * @param heard the addresses of daemons that are heard
     * @return the hub in use for a leaf; for others the daemon or hub that is chosen by a hash of
     *     the key, or empty if that is this daemon itself
     */
    public Optional<String> collector(final String key, final Collection<String> heard) {
        if (!isMesh() && !isHub()) {
            return hubInUse(heard);
        }
        return Stream.concat(
                        Stream.of(mSelf),
                        heard.stream().filter(member -> isMesh() || isHub(member)))
                .min(rendezvousOrder(key))
                .filter(first -> !first.equals(mSelf));
    }

    private static List<String> ownHubs(final String self, final Set<String> hubs) {
        return hubs.stream().sorted(rendezvousOrder(self)).limit(HUBS_PER_LEAF).toList();
    }

    private static Comparator<String> rendezvousOrder(final String key) {
        return Comparator.comparingLong(member -> HASHER.hashCharsToLong(key + member));
    }

    private static Set<String> hubs(final Collection<String> members) {
        final int count = (int) Math.ceil(Math.sqrt(members.size()));
        final List<String> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparingLong(HASHER::hashCharsToLong));
        return Set.copyOf(sorted.subList(0, count));
    }
}
