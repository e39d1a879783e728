package io.persimmonreel.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;

/**
 * Orders waiting requests when more is asked of an upstream than it can serve for seconds.
 *
 * <p>Earliest start first serves the most requests on time while all of them can be. Beyond that,
 * it makes nearly all of them just late. So the requests that can be on time are added up in this
 * order, and where one would start too late, the request that is worth least for its slot is
 * deferred until the rest fits (Moore and Hodgson 1968). Deferred requests come after those that
 * fit, late ones last. If all fit, this is earliest start first, so there are no two modes between
 * which it could change.
 *
 * <p>Requests that continue a stream come before the others of their rank. They take the places of
 * these, so that the order between ranks stays the same.
 */
public final class OverloadOrder {
    private OverloadOrder() {}

    /**
     * Describes a waiting request. Immutable.
     *
     * @param <T> the type of the request
     * @param request the request
     * @param position the position by the soonest start
     * @param punctualMillis the time in milliseconds until which it has to get a slot to be on
     *     time, negative if it can't be any more
     * @param slotMillis the time in milliseconds for which it takes a slot
     * @param rank the priority rank, 0 is the highest
     * @param isContinuation whether the request continues a stream that has begun
     */
    public record Candidate<T>(
            T request,
            QueuePosition position,
            double punctualMillis,
            double slotMillis,
            int rank,
            boolean isContinuation) {
        /**
         * Describes a request that begins.
         *
         * @param <T> the type of the request
         * @param request the request
         * @param left the time that its caller has left
         * @param run how long the response takes
         * @param rank the priority rank, 0 is the highest
         * @return the description
         */
        public static <T> Candidate<T> of(
                final T request, final TimeLeft left, final RunForecast run, final int rank) {
            return new Candidate<>(
                    request,
                    QueuePosition.of(left, run, rank),
                    left.latestPunctualStartMillis(run),
                    run.totalMillis(),
                    rank,
                    false);
        }

        /**
         * Returns this request as one that continues a stream.
         *
         * @return the same attributes
         */
        public Candidate<T> asContinuation() {
            return new Candidate<>(request, position, punctualMillis, slotMillis, rank, true);
        }

        /**
         * Returns what a slot gains by this request. The time left stands for the chance that the
         * request is on time in fact: predictions err, and one that is nearly late is likely to be
         * late after all.
         */
        private double worth() {
            return punctualMillis / Math.max(1, slotMillis);
        }
    }

    /**
     * Contains an order.
     *
     * @param <T> the type of the requests
     * @param requests the requests in the order in which they should be placed
     * @param deferred the requests that are placed later than by the soonest start, by identity
     */
    public record Arrangement<T>(List<T> requests, Set<T> deferred) {}

    /**
     * Sorts requests by the soonest start.
     *
     * @param <T> the type of the requests
     * @param candidates the requests
     * @return a new list
     */
    public static <T> List<Candidate<T>> bySoonestStart(final Collection<Candidate<T>> candidates) {
        final List<Candidate<T>> sorted = new ArrayList<>(candidates);
        sorted.sort(Comparator.comparing(Candidate::position));
        return sorted;
    }

    /**
     * Determines the order in which requests should be placed.
     *
     * @param <T> the type of the requests
     * @param soonest the requests, sorted by the soonest start
     * @param startMillis returns the time in milliseconds until a request gets a slot, from the
     *     time for which those before it take one, added up, in milliseconds
     * @param served how often requests of each rank were served recently
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the order
     */
    public static <T> Arrangement<T> arrange(
            final List<Candidate<T>> soonest,
            final DoubleUnaryOperator startMillis,
            final ServedShares served,
            final long nowNanos) {
        final List<Candidate<T>> deferred = deferred(soonest, startMillis, served, nowNanos);
        final List<Candidate<T>> requests = new ArrayList<>(soonest.size());
        final Set<T> isDeferred = Collections.newSetFromMap(new IdentityHashMap<>());
        deferred.forEach(candidate -> isDeferred.add(candidate.request()));
        int next = 0;
        while (next < soonest.size() && !soonest.get(next).position().isLate()) {
            if (!isDeferred.contains(soonest.get(next).request())) {
                requests.add(soonest.get(next));
            }
            next++;
        }
        requests.addAll(deferred);
        requests.addAll(soonest.subList(next, soonest.size()));
        return new Arrangement<>(
                continuationsFirst(requests).stream().map(Candidate::request).toList(), isDeferred);
    }

    /** Moves continuations to the first places of their rank; the places of a rank stay. */
    private static <T> List<Candidate<T>> continuationsFirst(final List<Candidate<T>> candidates) {
        if (candidates.stream().noneMatch(Candidate::isContinuation)) {
            return candidates;
        }
        final Map<Integer, Deque<Candidate<T>>> byRank = new HashMap<>();
        for (final boolean isContinuation : new boolean[] {true, false}) {
            candidates.stream()
                    .filter(candidate -> candidate.isContinuation() == isContinuation)
                    .forEach(
                            candidate ->
                                    byRank.computeIfAbsent(
                                                    candidate.rank(), rank -> new ArrayDeque<>())
                                            .add(candidate));
        }
        return candidates.stream().map(candidate -> byRank.get(candidate.rank()).remove()).toList();
    }

    /** Returns the requests that can't all be on time, those worth most first. */
    private static <T> List<Candidate<T>> deferred(
            final List<Candidate<T>> soonest,
            final DoubleUnaryOperator startMillis,
            final ServedShares served,
            final long nowNanos) {
        final List<Candidate<T>> deferred = new ArrayList<>();
        PriorityQueue<Candidate<T>> kept = null;
        double aheadMillis = 0;
        for (int i = 0; i < soonest.size() && !soonest.get(i).position().isLate(); i++) {
            final Candidate<T> candidate = soonest.get(i);
            if (startMillis.applyAsDouble(0) > candidate.punctualMillis()) {
                // It could not be on time as the first one, so the others need not make room.
                deferred.add(candidate);
                continue;
            }
            if (kept == null
                    && startMillis.applyAsDouble(aheadMillis) > candidate.punctualMillis()) {
                kept = new PriorityQueue<>(leastWorthFirst(soonest, served, nowNanos));
                kept.addAll(soonest.subList(0, i));
                kept.removeAll(deferred);
            }
            aheadMillis += candidate.slotMillis();
            if (kept == null) {
                continue;
            }
            kept.add(candidate);
            boolean isKept = true;
            while (isKept
                    && startMillis.applyAsDouble(aheadMillis - candidate.slotMillis())
                            > candidate.punctualMillis()) {
                final Candidate<T> least = kept.remove();
                aheadMillis -= least.slotMillis();
                deferred.add(least);
                isKept = least != candidate;
            }
        }
        deferred.sort(Comparator.comparingDouble(candidate -> -candidate.worth()));
        return deferred;
    }

    /** Orders requests by their worth, but those of a rank that is served too seldom last. */
    private static <T> Comparator<Candidate<T>> leastWorthFirst(
            final List<Candidate<T>> candidates, final ServedShares served, final long nowNanos) {
        final Map<Integer, Boolean> behind = new HashMap<>();
        candidates.forEach(candidate -> behind.put(candidate.rank(), false));
        behind.replaceAll(
                (rank, isBehind) -> served.isBehindLower(rank, behind.keySet(), nowNanos));
        return Comparator.comparing((Candidate<T> candidate) -> behind.get(candidate.rank()))
                .thenComparingDouble(Candidate::worth);
    }
}
