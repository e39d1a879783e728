package io.persimmonreel.daemon.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders the attempts that wait for replicas of each upstream: those that can be on time first,
 * then by urgency, then by arrival. Not thread safe.
 */
final class WaitingCalls {
    private final Map<String, List<RelayCall>> mByUpstream = new HashMap<>();
    private int mSize;

    void add(final RelayCall call) {
        mByUpstream.computeIfAbsent(call.task().upstream(), name -> new ArrayList<>()).add(call);
        mSize++;
    }

    void remove(final RelayCall call) {
        final List<RelayCall> calls = mByUpstream.get(call.task().upstream());
        if (calls != null && calls.remove(call)) {
            mSize--;
        }
    }

    int size() {
        return mSize;
    }

    boolean isEmpty(final String upstream) {
        return mByUpstream.getOrDefault(upstream, List.of()).isEmpty();
    }

    /** Returns the names of upstreams for which attempts wait. */
    List<String> upstreams() {
        final List<String> names = new ArrayList<>();
        mByUpstream.forEach(
                (name, calls) -> {
                    if (!calls.isEmpty()) {
                        names.add(name);
                    }
                });
        return names;
    }

    /** Returns the attempts in the order in which they are to be placed. */
    List<RelayCall> inOrder(final String upstream, final long nowNanos) {
        final List<RelayCall> calls =
                new ArrayList<>(mByUpstream.getOrDefault(upstream, List.of()));
        calls.sort(
                Comparator.<RelayCall, Boolean>comparing(c -> c.task().objectiveLeft(nowNanos) <= 0)
                        .thenComparingInt(c -> c.task().rank())
                        .thenComparingLong(c -> c.task().request().arrivedNanos()));
        return calls;
    }
}
