package io.persimmonreel.core.warmup;

import io.persimmonreel.core.replica.Affinity;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides how many requests this daemon may send to cold replicas, so that the arrivals at each of
 * them stay within a bound, summed over all daemons.
 *
 * <p>Handles the load of a fleet that finds an empty replica: without a limit, all daemons send to
 * it at once and it crashes again. A replica is cold from an entry that says so, for the time that
 * it states, and from signs of a crash until its next entry. A daemon without a rate of its own
 * sends nothing to a cold replica. The sum is given at {@link WarmUpRate}. Not thread safe.
 */
public final class ColdReplicas {
    /** The time from a permit within which its request must be written, in nanoseconds. */
    private static final long PERMIT_USE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<String, ColdReplica> mReplicas = new HashMap<>();
    private final Set<String> mWithPermits = new HashSet<>();
    private final Set<String> mCold = new HashSet<>();
    private final Listener mListener;
    private Map<String, WarmUpRate> mRates = Map.of();
    private WarmUpShares mShares = WarmUpShares.NONE;

    /** Receives changes of replicas whose upstream has a rate. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Reports a change.
         *
         * @param replica the replica's id
         * @param upstream the upstream that it belongs to
         * @param event what has changed
         */
        void onEvent(String replica, String upstream, ColdReplicaEvent event);
    }

    /**
     * Describes a crash.
     *
     * @param replica the replica's id
     * @param startedMillis the start of the replica that crashed, milliseconds since the Unix
     *     epoch, 0 if unknown
     * @param crashNanos the last sign of the crash, as monotonic time in nanoseconds
     */
    public record Crash(String replica, long startedMillis, long crashNanos) {}

    /**
     * Creates the state of a daemon that knows no replicas.
     *
     * @param listener receives changes
     */
    public ColdReplicas(final Listener listener) {
        mListener = listener;
    }

    /**
     * Sets the rates of cold replicas. Nothing is limited where there is none.
     *
     * @param rates the rates by the name of the upstream
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onRates(final Map<String, WarmUpRate> rates, final long nowNanos) {
        mRates = Map.copyOf(rates);
        mReplicas.forEach((id, replica) -> update(id, replica, nowNanos));
    }

    /**
     * Sets this daemon's shares, and ends cold states whose time is over. To be called several
     * times a second.
     *
     * @param shares the shares
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onShares(final WarmUpShares shares, final long nowNanos) {
        mShares = shares;
        for (final String id : List.copyOf(mWithPermits)) {
            final ColdReplica replica = mReplicas.get(id);
            if (replica.dropPermits(nowNanos)) {
                mWithPermits.remove(id);
            }
            update(id, replica, nowNanos);
        }
    }

    /**
     * Applies the entries of all current replicas.
     *
     * @param entries the entries
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onEntries(final Collection<ReplicaEntry> entries, final long nowNanos) {
        final Set<String> present = new HashSet<>();
        for (final ReplicaEntry entry : entries) {
            present.add(entry.id());
            final ColdReplica known = mReplicas.get(entry.id());
            if (known == null) {
                mReplicas.put(
                        entry.id(), new ColdReplica(entry, Affinity.hash(entry.id()), nowNanos));
            }
            final ColdReplica replica = mReplicas.get(entry.id());
            final boolean changed = known == null || replica.onEntry(entry, nowNanos);
            update(entry.id(), replica, nowNanos);
            if (changed && mCold.contains(entry.id())) {
                report(entry.id(), replica, ColdReplicaEvent.ENTRY);
            }
        }
        // Replicas without an entry get nothing; those with permits may soon be back.
        mReplicas.keySet().removeIf(id -> !present.contains(id) && !mWithPermits.contains(id));
    }

    /**
     * Applies a sign that a replica crashed.
     *
     * @param crash the crash
     * @param isObserver whether this daemon saw it itself
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether the replica was not known to have crashed before
     */
    public boolean onCrash(final Crash crash, final boolean isObserver, final long nowNanos) {
        final ColdReplica replica = mReplicas.get(crash.replica());
        if (replica == null
                || !mRates.containsKey(replica.upstream())
                || crash.startedMillis() < replica.startedMillis()) {
            return false;
        }
        final boolean wasCrashed = replica.isCrashed(nowNanos);
        if (!replica.onCrash(isObserver, crash.crashNanos(), nowNanos)) {
            return false;
        }
        update(crash.replica(), replica, nowNanos);
        if (!wasCrashed) {
            report(
                    crash.replica(),
                    replica,
                    isObserver ? ColdReplicaEvent.CRASH : ColdReplicaEvent.PEER);
        }
        return !wasCrashed;
    }

    /**
     * Applies a response, which may show that a replica did not crash.
     *
     * @param id the replica's id
     * @param writtenNanos when its request was written, as monotonic time in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onResponse(final String id, final long writtenNanos, final long nowNanos) {
        if (!mCold.contains(id)) {
            return;
        }
        final ColdReplica replica = mReplicas.get(id);
        if (replica.onResponse(writtenNanos, nowNanos)) {
            mCold.remove(id);
            report(id, replica, ColdReplicaEvent.ANSWERED);
        }
    }

    /**
     * Returns the replicas that count as cold because of a crash.
     *
     * @param observedOnly whether those of which only a peer told are left out
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the crashes
     */
    public List<Crash> crashes(final boolean observedOnly, final long nowNanos) {
        final List<Crash> crashes = new ArrayList<>();
        for (final String id : mCold) {
            final ColdReplica replica = mReplicas.get(id);
            if (replica.isCrashed(nowNanos) && (replica.isObserver() || !observedOnly)) {
                crashes.add(new Crash(id, replica.startedMillis(), replica.crashNanos()));
            }
        }
        return crashes;
    }

    /**
     * Returns whether requests to a replica need a permit.
     *
     * @param id the replica's id
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true while it is cold and its upstream has a rate
     */
    public boolean isCold(final String id, final long nowNanos) {
        return mCold.contains(id) && mReplicas.get(id).isCold(nowNanos);
    }

    /**
     * Returns the number of cold replicas.
     *
     * @return the replicas whose cold state was not found to be over
     */
    public int count() {
        return mCold.size();
    }

    /**
     * Returns how long this daemon must wait until it may send a request to a replica.
     *
     * @param id the replica's id
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds, 0 if a request may be sent now, infinite without a share
     */
    public double waitMillis(final String id, final long nowNanos) {
        return isCold(id, nowNanos) ? mReplicas.get(id).waitMillis(nowNanos) : 0;
    }

    /**
     * Returns the rate at which this daemon may send requests to a replica.
     *
     * @param id the replica's id
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the requests per second, infinite if the replica is not cold
     */
    public double perSecond(final String id, final long nowNanos) {
        return isCold(id, nowNanos) ? mReplicas.get(id).perSecond() : Double.POSITIVE_INFINITY;
    }

    /**
     * Records that a replica was chosen for a request, which takes a permit if the replica is cold.
     *
     * @param id the replica's id
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onSent(final String id, final long nowNanos) {
        if (isCold(id, nowNanos)) {
            mReplicas.get(id).onSent(nowNanos);
        }
    }

    /**
     * Returns whether a request may be written to a connection now. A connection that was opened
     * while the replica crashed comes from the new process, and a permit holds for a short time
     * only; if neither suffices, a permit is taken.
     *
     * @param id the replica's id
     * @param sentNanos when the replica was chosen for the request, as monotonic time in
     *     nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false if the request must be placed again
     */
    public boolean tryWrite(final String id, final long sentNanos, final long nowNanos) {
        if (!isCold(id, nowNanos)) {
            return true;
        }
        final ColdReplica replica = mReplicas.get(id);
        if (replica.hasTakenPermit(sentNanos) && nowNanos - sentNanos <= PERMIT_USE_NANOS) {
            return true;
        }
        if (replica.waitMillis(nowNanos) > 0) {
            return false;
        }
        replica.onSent(nowNanos);
        return true;
    }

    /** Updates the rate of a replica and whether it is cold. */
    private void update(final String id, final ColdReplica replica, final long nowNanos) {
        final WarmUpRate rate = mRates.get(replica.upstream());
        if (rate == null || !replica.isCold(nowNanos)) {
            if (mCold.remove(id) && rate != null) {
                report(id, replica, ColdReplicaEvent.ENDED);
            }
        } else {
            mCold.add(id);
        }
        if (rate != null && replica.hasPermits()) {
            replica.onRate(mShares.perSecond(replica.idHash(), rate), nowNanos);
        } else if (mCold.contains(id)) {
            mWithPermits.add(id);
            replica.beginPermits(
                    mShares.firstPermits(replica.idHash(), rate),
                    mShares.perSecond(replica.idHash(), rate),
                    nowNanos);
        }
    }

    private void report(final String id, final ColdReplica replica, final ColdReplicaEvent event) {
        mListener.onEvent(id, replica.upstream(), event);
    }
}
