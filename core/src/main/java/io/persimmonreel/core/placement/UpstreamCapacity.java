package io.persimmonreel.core.placement;

import io.persimmonreel.core.admission.PlaceForecast;
import io.persimmonreel.core.replica.Replica;
import java.util.Collection;

/**
 * Describes how soon the replicas of an upstream free slots for the requests that wait in this
 * daemon. Immutable.
 *
 * @param ownSlots the slots that this daemon can expect to use, including a fraction
 * @param serviceMillis the mean time in milliseconds for which a request takes a slot
 * @param queuedMillis the time in milliseconds in which the requests that wait at the replicas get
 *     a slot, 0 if slots are free
 */
public record UpstreamCapacity(double ownSlots, double serviceMillis, double queuedMillis) {
    /**
     * Estimates the capacity from the load of the replicas. Daemons get slots in proportion to the
     * requests that they have there, and each at least an equal share.
     *
     * @param replicas the replicas that take requests
     * @param shares the division of the slots among daemons
     * @param daemons the number of daemons that share the replicas, at least 1
     * @param typicalMillis the time in milliseconds for which a request takes a slot of a replica
     *     without a measurement
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the capacity, without slots if there is no replica
     */
    public static UpstreamCapacity of(
            final Collection<Replica> replicas,
            final SlotShares shares,
            final int daemons,
            final double typicalMillis,
            final long nowNanos) {
        double slots = 0;
        double load = 0;
        double ownLoad = 0;
        double dividedSlots = 0;
        double servedPerMilli = 0;
        for (final Replica replica : replicas) {
            slots += replica.entry().slots();
            load += replica.load(nowNanos);
            ownLoad += replica.ownInFlight();
            dividedSlots += shares.slots(replica);
            servedPerMilli += replica.entry().slots() / replica.serviceMillis(typicalMillis);
        }
        if (slots == 0) {
            return new UpstreamCapacity(0, typicalMillis, 0);
        }
        final double share = Math.max(ownLoad / Math.max(1, load), 1.0 / daemons);
        return new UpstreamCapacity(
                dividedSlots > 0 ? dividedSlots : slots * Math.min(1.0, share),
                slots / servedPerMilli,
                Math.max(0, load - slots) / servedPerMilli);
    }

    /**
     * Returns whether there is no replica.
     *
     * @return true if no slot becomes free
     */
    public boolean isEmpty() {
        return ownSlots <= 0;
    }

    /**
     * Predicts when a request that waits in this daemon gets a slot.
     *
     * @param aheadMillis the time in milliseconds for which the requests that get a slot before it
     *     take one, added up
     * @return the forecast
     */
    public PlaceForecast forecast(final double aheadMillis) {
        final double intervalMillis = serviceMillis / ownSlots;
        return new PlaceForecast(
                queuedMillis + intervalMillis + aheadMillis / ownSlots, intervalMillis, 0);
    }
}
