package io.persimmonreel.core.schedule;

import com.dynatrace.hash4j.hashing.Hashing;
import io.persimmonreel.core.service.ReplicaSpec;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Lists the replicas of one upstream. Each configuration gets a new table, which takes over the
 * states of unchanged replicas.
 */
final class ReplicaTable {
    /** A daemon routes to at most this many replicas, so that their states fit in CPU caches. */
    private static final int MAXIMUM_SUBSET = 512;

    private final ReplicaState[] mAll;
    private final ReplicaState[] mSubset;
    private final Map<String, ReplicaState> mById;

    ReplicaTable(
            final List<ReplicaSpec> specs, final ReplicaTable previous, final long subsetSeed) {
        mById = new HashMap<>(specs.size() * 2);
        mAll = new ReplicaState[specs.size()];
        for (int i = 0; i < mAll.length; i++) {
            final ReplicaSpec spec = specs.get(i);
            final ReplicaState known = previous == null ? null : previous.find(spec.id());
            mAll[i] = known != null && known.spec().equals(spec) ? known : new ReplicaState(spec);
            mById.put(spec.id(), mAll[i]);
        }
        mSubset = subset(mAll, subsetSeed);
    }

    private static ReplicaState[] subset(final ReplicaState[] all, final long seed) {
        if (all.length <= MAXIMUM_SUBSET) {
            return all;
        }
        final ReplicaState[] sorted = all.clone();
        Arrays.sort(
                sorted,
                Comparator.comparingLong(
                        state -> Hashing.komihash5_0(seed).hashCharsToLong(state.id())));
        return Arrays.copyOf(sorted, MAXIMUM_SUBSET);
    }

    ReplicaState find(final String id) {
        return mById.get(id);
    }

    /** Returns all replicas; the array must not be changed. */
    ReplicaState[] all() {
        return mAll;
    }

    /** Returns the replicas that this daemon routes to; the array must not be changed. */
    ReplicaState[] subset() {
        return mSubset;
    }
}
