package io.persimmonreel.daemon.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holds the requests that wait for a replica, by upstream. Requests that can still meet their
 * latency objective come before those that can't; within each group the order is by arrival time,
 * with a fixed head start for each priority rank. The head start puts urgent requests first without
 * starving the others. Not thread safe.
 */
final class RequestQueue {
    /** The head start of one rank over the next one. */
    private static final long RANK_HEAD_START_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

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

    /** Returns the names of the upstreams for which requests wait. */
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

    /** Returns the waiting requests in the order in which they should be placed. */
    List<RelayCall> inOrder(final String upstream, final long nowNanos) {
        final List<RelayCall> calls =
                new ArrayList<>(mByUpstream.getOrDefault(upstream, List.of()));
        calls.sort(
                Comparator.<RelayCall, Boolean>comparing(
                                c -> c.task().objectiveMillisLeft(nowNanos) <= 0)
                        .thenComparingLong(RequestQueue::queuePosition));
        return calls;
    }

    private static long queuePosition(final RelayCall call) {
        return call.task().request().arrivedNanos() + call.task().rank() * RANK_HEAD_START_NANOS;
    }
}
