package io.persimmonreel.core.placement;

import io.persimmonreel.core.ratelimit.RateShares;
import io.persimmonreel.core.replica.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps a daemon's shares of slots and rate limits until the fleet or the replicas change. Shares
 * are asked for at intervals, and dividing anew takes a step for each daemon and slot. Not thread
 * safe.
 */
public final class FleetDivision {
    private final String mSelf;
    private SlotInputs mSlotInputs;
    private SlotShares mSlots = SlotShares.UNDIVIDED;
    private RateInputs mRateInputs;
    private RateShares mRates = RateShares.whole();

    /** Holds the slots of a replica that takes requests. */
    private record UsableSlots(Replica replica, int slots) {}

    /** Holds all that a division of slots depends on. */
    private record SlotInputs(
            Set<String> others, int reachable, Map<String, List<UsableSlots>> upstreams) {}

    /** Holds all that a division of rate limits depends on. */
    private record RateInputs(Set<String> others, int minimumSize) {}

    /**
     * Creates a division of a daemon that is alone.
     *
     * @param self the daemon's name
     */
    public FleetDivision(final String self) {
        mSelf = self;
    }

    /**
     * Returns the daemon's share of the slots.
     *
     * @param others the names of the other known daemons
     * @param reachable the number of daemons that are heard from, this one included
     * @param upstreams the replicas of each upstream, by its name
     * @return the same object as before if nothing has changed
     */
    public SlotShares slots(
            final Collection<String> others,
            final int reachable,
            final Map<String, ? extends Collection<Replica>> upstreams) {
        final Map<String, List<UsableSlots>> usable = new HashMap<>();
        upstreams.forEach((name, replicas) -> usable.put(name, usable(replicas)));
        final SlotInputs inputs = new SlotInputs(Set.copyOf(others), reachable, usable);
        if (!inputs.equals(mSlotInputs)) {
            mSlotInputs = inputs;
            mSlots = SlotShares.divide(mSelf, others, reachable, upstreams);
        }
        return mSlots;
    }

    /**
     * Returns the daemon's share of rate limits.
     *
     * @param others the names of the other known daemons
     * @param minimumSize the number of daemons to assume if fewer are known, at least 1
     * @return the same object as before if nothing has changed
     */
    public RateShares rates(final Collection<String> others, final int minimumSize) {
        final RateInputs inputs = new RateInputs(Set.copyOf(others), minimumSize);
        if (!inputs.equals(mRateInputs)) {
            mRateInputs = inputs;
            mRates = RateShares.of(mSelf, others, minimumSize);
        }
        return mRates;
    }

    private static List<UsableSlots> usable(final Collection<Replica> replicas) {
        final List<UsableSlots> usable = new ArrayList<>(replicas.size());
        for (final Replica replica : replicas) {
            if (!SlotShares.isEnding(replica)) {
                usable.add(new UsableSlots(replica, replica.entry().slots()));
            }
        }
        return usable;
    }
}
