package io.persimmonreel.core.admission;

import io.persimmonreel.core.replica.Replica;
import java.util.Collection;

/**
 * Decides whether the replicas of an upstream have room for requests beyond their customers'
 * quotas.
 *
 * <p>Handles a customer that sends more than its quota: while the replicas have room, serving it
 * delays nobody; under load, the slots are left to customers within their quotas.
 */
public final class SpareCapacity {
    /**
     * Fraction of the slots up to which requests beyond a quota are accepted. They run for seconds,
     * so the rest is left to the growth of the load of customers within their quotas meanwhile.
     */
    private static final double ROOM_SHARE = 0.7;

    /**
     * Decides whether there is room.
     *
     * @param replicas the replicas of the upstream
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if enough slots of usable replicas are free; false if no replica is usable
     */
    public boolean hasRoom(final Collection<Replica> replicas, final long nowNanos) {
        double load = 0;
        int slots = 0;
        for (final Replica replica : replicas) {
            if (replica.isOpen(nowNanos) && !replica.health().isEjected(nowNanos)) {
                load += replica.load(nowNanos);
                slots += replica.entry().slots();
            }
        }
        return load < slots * ROOM_SHARE;
    }
}
