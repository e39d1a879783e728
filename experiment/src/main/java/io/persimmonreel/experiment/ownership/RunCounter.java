package io.persimmonreel.experiment.ownership;

import java.util.HashMap;
import java.util.Map;

/** Counts the runs of each key at the upstreams. */
final class RunCounter {
    private final Map<String, Integer> mRunsByKey = new HashMap<>();

    void add(final String key) {
        mRunsByKey.merge(key, 1, Integer::sum);
    }

    /** Returns the number of keys that ran more than once. */
    long countDoubleRuns() {
        return mRunsByKey.values().stream().filter(runs -> runs > 1).count();
    }
}
