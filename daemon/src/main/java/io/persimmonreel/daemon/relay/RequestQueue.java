package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.OverloadOrder;
import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds the requests that wait for a replica, by upstream. Not thread safe. */
final class RequestQueue {
    private final HeldLimits mLimits;
    private final Map<String, Map<RelayCall, WaitingRequest>> mByUpstream = new HashMap<>();
    private int mSize;
    private long mBodyBytes;

    RequestQueue(final HeldLimits limits) {
        mLimits = limits;
    }

    void add(final WaitingRequest request) {
        mByUpstream
                .computeIfAbsent(request.call().task().upstream(), name -> new LinkedHashMap<>())
                .put(request.call(), request);
        mSize++;
        mBodyBytes += request.bodyBytes();
    }

    /** Replaces what is known of a waiting request. */
    void update(final WaitingRequest request) {
        mByUpstream
                .getOrDefault(request.call().task().upstream(), Map.of())
                .computeIfPresent(request.call(), (call, before) -> request);
    }

    void remove(final RelayCall call) {
        final Map<RelayCall, WaitingRequest> requests = mByUpstream.get(call.task().upstream());
        final WaitingRequest removed = requests == null ? null : requests.remove(call);
        if (removed != null) {
            mSize--;
            mBodyBytes -= removed.bodyBytes();
        }
    }

    int size() {
        return mSize;
    }

    boolean isEmpty(final String upstream) {
        return waiting(upstream).isEmpty();
    }

    /** Returns the names of the upstreams for which requests wait. */
    List<String> upstreams() {
        final List<String> names = new ArrayList<>();
        mByUpstream.forEach(
                (name, requests) -> {
                    if (!requests.isEmpty()) {
                        names.add(name);
                    }
                });
        return names;
    }

    /** Returns the waiting requests of an upstream in no particular order. */
    Collection<WaitingRequest> waiting(final String upstream) {
        return mByUpstream.getOrDefault(upstream, Map.of()).values();
    }

    /** Returns the waiting requests, sorted by the soonest start. */
    List<Candidate<WaitingRequest>> bySoonestStart(final String upstream, final long nowNanos) {
        return OverloadOrder.bySoonestStart(
                waiting(upstream).stream().map(request -> request.candidate(nowNanos)).toList());
    }

    /**
     * Returns the request that should be refused because too many wait: the last one of those that
     * did not run, of the upstream for which most requests wait.
     *
     * @return the request, empty if the limits are kept
     */
    Optional<WaitingRequest> excess(final long nowNanos) {
        if (mSize <= mLimits.requests() && mBodyBytes <= mLimits.bodyBytes()) {
            return Optional.empty();
        }
        return mByUpstream.values().stream()
                .max(Comparator.comparingInt(Map::size))
                .flatMap(
                        requests ->
                                requests.values().stream()
                                        .filter(r -> r.call().canBeRefused())
                                        .max(Comparator.comparing(r -> r.position(nowNanos))));
    }
}
