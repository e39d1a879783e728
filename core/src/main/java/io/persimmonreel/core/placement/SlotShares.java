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
 * <p>It answers overload in fleets whose daemons hear of each other through hubs: reports are up to
 * 1.2 s old there, and daemons that send by them alone fill the same idle replica or leave slots
 * free. All daemons with the same view of members and replicas compute the same division.
 * Immutable.
 */
public final class SlotShares {
    /** Nothing is divided: reports are fresh enough for all daemons to share all slots. */
    public static final SlotShares UNDIVIDED = new SlotShares(Map.of(), Set.of());

    /** With fewer slots for each daemon, most of their requests would find none. */
    private static final int LEAST_SLOTS = 2;

    private final Map<Replica, Integer> mOwn;
    private final Set<String> mDivided;

    private SlotShares(final Map<Replica, Integer> own, final Set<String> divided) {
        mOwn = Map.copyOf(own);
        mDivided = Set.copyOf(divided);
    }

    /**
     * Divides slots. An upstream whose slots are too few for all daemons stays undivided.
     *
     * @param self the daemon's name
     * @param others the names of the other daemons that are known
     * @param heard how many daemons are heard of, this one included; they share the slots of those
     *     that are known and silent
     * @param upstreams the replicas of each upstream, by its name
     * @return the daemon's share: about the slots of an upstream by the number of daemons, on as
     *     many replicas as possible
     */
    public static SlotShares divide(
            final String self,
            final Collection<String> others,
            final int heard,
            final Map<String, ? extends Collection<Replica>> upstreams) {
        final TreeSet<String> members = new TreeSet<>(others);
        members.add(self);
        final long index = members.headSet(self).size();
        final long known = members.size();
        final long sharing = Math.max(1, Math.min(heard, known));
        final Map<Replica, Integer> own = new HashMap<>();
        final Set<String> divided = new HashSet<>();
        upstreams.forEach(
                (name, all) -> {
                    final List<Replica> replicas = new ArrayList<>(all);
                    replicas.removeIf(replica -> replica.entry().draining());
                    final long total = replicas.stream().mapToInt(r -> r.entry().slots()).sum();
                    if (total >= LEAST_SLOTS * known) {
                        divided.add(name);
                        // Whole numbers keep neighbours' ranges from overlapping by rounding.
                        final long from = index * total / known;
                        final long to = (index * sharing + known) * total / (known * sharing);
                        take(from, to, total, replicas, own);
                    }
                });
        return new SlotShares(own, divided);
    }

    /** Numbers the first slots of all replicas, then the second ones, and takes a range of them. */
    private static void take(
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
                    // A range that goes beyond the last slot goes on at the first one.
                    if (number >= from && number < to || number + total < to) {
                        own.merge(replica, 1, Integer::sum);
                    }
                    number++;
                }
            }
        }
    }

    /**
     * Tells whether the slots of an upstream are divided.
     *
     * @param upstream the upstream's name
     * @return false if all daemons share them
     */
    public boolean isDivided(final String upstream) {
        return mDivided.contains(upstream);
    }

    /**
     * Tells whether the daemon has a free slot of its own at a replica.
     *
     * @param replica the replica
     * @return true if fewer of the daemon's requests are there than it has slots
     */
    public boolean hasFreeSlot(final Replica replica) {
        return replica.ownInFlight() < mOwn.getOrDefault(replica, 0);
    }

    /**
     * Returns the daemon's slots at a replica.
     *
     * @param replica the replica
     * @return the slots, 0 if it has none or nothing is divided
     */
    public int slots(final Replica replica) {
        return mOwn.getOrDefault(replica, 0);
    }
}
