package io.persimmonreel.daemon.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Orders the attempts that wait for replicas of each upstream: those that can be on time first,
 * then by arrival, with a head start for each rank. A head start lets urgent requests go first and
 * does not starve the others. Not thread safe.
 */
final class WaitingCalls {
    /** Lead of one rank before the next one. */
    private static final long RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

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
                        .thenComparingLong(WaitingCalls::turn));
        return calls;
    }

    private static long turn(final RelayCall call) {
        return call.task().request().arrivedNanos() + call.task().rank() * RANK_NANOS;
    }
}
