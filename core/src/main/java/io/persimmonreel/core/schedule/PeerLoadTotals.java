package io.persimmonreel.core.schedule;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the sum of the peers' requests at each replica up to date. Callers hold the scheduler's
 * lock.
 */
final class PeerLoadTotals {
    private final Map<Incarnation, PeerLoad> mLast = new HashMap<>();

    void update(final Incarnation from, final PeerLoad load, final ReplicaTable table) {
        final PeerLoad previous = mLast.put(from, load);
        if (previous != null) {
            apply(previous, table, -1);
        }
        apply(load, table, 1);
    }

    /** Drops the load of peers that are not live; load reports show requests they left behind. */
    void retain(final List<Incarnation> live, final ReplicaTable table) {
        final Set<Incarnation> kept = new HashSet<>(live);
        final Iterator<Map.Entry<Incarnation, PeerLoad>> entries = mLast.entrySet().iterator();
        while (entries.hasNext()) {
            final Map.Entry<Incarnation, PeerLoad> entry = entries.next();
            if (!kept.contains(entry.getKey())) {
                apply(entry.getValue(), table, -1);
                entries.remove();
            }
        }
    }

    private static void apply(final PeerLoad load, final ReplicaTable table, final int sign) {
        for (int i = 0; i < load.replicas().size(); i++) {
            final ReplicaState replica = table.find(load.replicas().get(i));
            if (replica != null) {
                replica.addPeerLoad(
                        sign * load.inFlight().get(i), sign * load.prefillTokens().get(i));
            }
        }
    }
}
