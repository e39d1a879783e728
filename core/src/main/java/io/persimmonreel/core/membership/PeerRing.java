package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the heartbeat peers of a daemon: the members that it exchanges heartbeats with.
 *
 * <p>In a small fleet these are all members. In a larger one, the members form a ring in the order
 * of their slots' hashes, and the peers are those at distances that grow geometrically in both
 * directions, so that gossip needs few hops. If two daemons know the same members, each is a peer
 * of the other or neither is.
 */
final class PeerRing {
    /** With up to this many other members, a daemon exchanges heartbeats with all of them. */
    static final int MAXIMUM_MESH_MEMBERS = 16;

    /** The number of peers in each direction of the ring. */
    static final int PEERS_PER_DIRECTION = 6;

    private PeerRing() {}

    static Set<Incarnation> peersOf(
            final Incarnation self, final int slot, final Collection<Member> others) {
        if (others.size() <= MAXIMUM_MESH_MEMBERS) {
            final Set<Incarnation> all = new HashSet<>();
            others.forEach(member -> all.add(member.incarnation()));
            return all;
        }
        final List<RingEntry> ring = new ArrayList<>();
        others.forEach(
                member -> ring.add(new RingEntry(hash(member.slot()), member.incarnation())));
        final RingEntry own = new RingEntry(hash(slot), self);
        ring.add(own);
        ring.sort(Comparator.comparingLong(RingEntry::hash).thenComparing(RingEntry::incarnation));
        return peersAround(ring, ring.indexOf(own));
    }

    private static Set<Incarnation> peersAround(final List<RingEntry> ring, final int index) {
        final int size = ring.size();
        final Set<Incarnation> peers = new HashSet<>();
        int distance = 0;
        for (int i = 0; i < PEERS_PER_DIRECTION; i++) {
            final int target = (int) Math.round(Math.pow(size, (double) i / PEERS_PER_DIRECTION));
            distance = Math.max(distance + 1, target);
            peers.add(ring.get((index + distance) % size).incarnation());
            peers.add(ring.get(Math.floorMod(index - distance, size)).incarnation());
        }
        return peers;
    }

    private static long hash(final int slot) {
        long mixed = slot * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }

    private record RingEntry(long hash, Incarnation incarnation) {}
}
