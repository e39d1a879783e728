package io.persimmonreel.core.placement;

import io.persimmonreel.core.replica.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Divides the slots of all replicas of an upstream among the daemons, without messages.
 *
 * <p>In fleets whose daemons exchange load reports through hubs, reports are up to 1.2 s old. Under
 * overload, daemons that rely on them alone fill the same idle replica or leave slots free. All
 * daemons with the same view of members and replicas compute the same division. Immutable.
 */
public final class SlotShares {
    /** Divides nothing; used if reports are fresh enough for all daemons to share all slots. */
    public static final SlotShares UNDIVIDED = new SlotShares(Map.of(), Set.of());

    /** With fewer slots per daemon, most requests would find no free slot of their daemon. */
    private static final int MINIMUM_SLOTS_PER_DAEMON = 2;

    private final Map<Replica, Integer> mOwnSlots;
    private final Set<String> mDivided;

    private SlotShares(final Map<Replica, Integer> own, final Set<String> divided) {
        mOwnSlots = Map.copyOf(own);
        mDivided = Set.copyOf(divided);
    }

    /**
     * Computes the slots of a daemon. An upstream with too few slots for all daemons stays
     * undivided.
     *
     * @param self the daemon's name
     * @param others the names of the other known daemons
     * @param reachable the number of daemons that are heard from, this one included; they share the
     *     slots of known daemons that are silent
     * @param upstreams the replicas of each upstream, by its name
     * @return the slots of the daemon: about the slots of an upstream divided by the number of
     *     daemons, on as many replicas as possible
     */
    public static SlotShares divide(
            final String self,
            final Collection<String> others,
            final int reachable,
            final Map<String, ? extends Collection<Replica>> upstreams) {
        final TreeSet<String> members = new TreeSet<>(others);
        members.add(self);
        final long index = members.headSet(self).size();
        final long known = members.size();
        final long sharing = Math.max(1, Math.min(reachable, known));
        final Map<Replica, Integer> own = new HashMap<>();
        final Set<String> divided = new HashSet<>();
        upstreams.forEach(
                (name, all) -> {
                    final List<Replica> replicas = new ArrayList<>(all);
                    replicas.removeIf(SlotShares::isEnding);
                    final long total = replicas.stream().mapToInt(r -> r.entry().slots()).sum();
                    if (total >= MINIMUM_SLOTS_PER_DAEMON * known) {
                        divided.add(name);
                        // Integer arithmetic keeps rounding from making adjacent ranges overlap.
                        final long from = index * total / known;
                        final long to = (index * sharing + known) * total / (known * sharing);
                        assign(from, to, total, replicas, own);
                    }
                });
        return new SlotShares(own, divided);
    }

    static boolean isEnding(final Replica replica) {
        return replica.isWithdrawn() || replica.availability().isLeaving();
    }

    /**
     * Assigns the slots in a range of numbers. The first slots of all replicas are numbered first,
     * then the second ones, and so on.
     */
    private static void assign(
            final long from,
            final long to,
            final long total,
            final List<Replica> replicas,
            final Map<Replica, Integer> own) {
        replicas.sort(Comparator.comparingLong(Replica::idHash));
        long number = 0;
        for (int slot = 0; number < total; slot++) {
            for (final Replica replica : replicas) {
                if (slot < replica.entry().slots()) {
                    // A range that ends beyond the last slot continues at the first one.
                    if (number >= from && number < to || number + total < to) {
                        own.merge(replica, 1, Integer::sum);
                    }
                    number++;
                }
            }
        }
    }

    /**
     * Returns whether the slots of an upstream are divided.
     *
     * @param upstream the upstream's name
     * @return false if all daemons share all slots
     */
    public boolean isDivided(final String upstream) {
        return mDivided.contains(upstream);
    }

    /**
     * Returns whether this daemon has a free slot of its own at a replica.
     *
     * @param replica the replica
     * @return true if it has fewer requests in flight there than slots
     */
    public boolean hasFreeSlot(final Replica replica) {
        return replica.ownInFlight() < mOwnSlots.getOrDefault(replica, 0);
    }

    /**
     * Returns how many slots this daemon has at a replica.
     *
     * @param replica the replica
     * @return the slots, 0 if it has none or if nothing is divided
     */
    public int slots(final Replica replica) {
        return mOwnSlots.getOrDefault(replica, 0);
    }
}
