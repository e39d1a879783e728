package io.persimmonreel.core.placement;

import io.persimmonreel.core.admission.ReplicaForecast;
import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.replica.Affinity;
import io.persimmonreel.core.replica.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Chooses the replica with the lowest score, which is the predicted time to the first event plus
 * penalties, such as for slowing down the requests that run there.
 *
 * <p>Engines differ in speed and load reports are stale, so predictions are made from the requests
 * in flight, measured speeds and the prompt parts that a replica has cached. Requests with long
 * outputs avoid slow replicas, and requests of one session go to the same preferred replica unless
 * it is busy. Not thread safe.
 */
public final class Placement {
    /** Time to generate one token before the first measurement, in milliseconds. */
    public static final double TYPICAL_TOKEN_MILLIS = 6.0;

    /**
     * Ratio of the prefill time per prompt token in microseconds to the time to generate a token in
     * milliseconds, assumed before the first measurement of the prefill time.
     */
    static final double PREFILL_MICROS_PER_TOKEN_MILLI = 4.0;

    /** Service time of a plain request before the first measurement, in milliseconds. */
    private static final double TYPICAL_PLAIN_MILLIS = 50.0;

    /** Score penalty of a replica whose slots are all in use, in milliseconds. */
    private static final double FULL_LOAD_MILLIS = 120.0;

    /** Score penalty for each running stream that a prefill delays too long, in milliseconds. */
    private static final double DELAYED_STREAM_MILLIS = 60.0;

    /**
     * Prefill time, as a fraction of the longest allowed gap between events, from which the prefill
     * begins to delay the running streams.
     */
    private static final double DELAY_BEGIN_RATIO = 0.5;

    /** Fraction of the longest allowed gap from which a prefill delays all running streams. */
    private static final double DELAY_FULL_RATIO = 0.9;

    /** Score penalty of a replica that fails all its requests, in milliseconds. */
    private static final double FAILURE_MILLIS = 600.0;

    /**
     * Score penalty in milliseconds of a replica without a success since its ejection, so that it
     * gets few requests.
     */
    private static final double PROBATION_MILLIS = 150.0;

    /** The actual output may be longer than the estimate by about this factor. */
    private static final double LENGTH_MARGIN = 1.6;

    /** The ratios where the memory of the engines is unknown; they are never measured. */
    private static final PromptHitRatios ASSUMED_RATIOS = new PromptHitRatios();

    /**
     * Weight of the prefill time in a score; prefill takes engine time from other requests. A
     * weight in proportion to the load of the replica puts fewer requests on time below capacity,
     * since long prompts then go to slow idle replicas.
     */
    private static final double PREFILL_WEIGHT = 2.5;

    /**
     * Upper bound of the random part of a score in milliseconds, which keeps daemons from all
     * choosing the same replica.
     */
    private static final double JITTER_MILLIS = 12.0;

    /**
     * Fraction of the replicas that a request considers while slots are divided, besides those
     * where the daemon has a free slot of its own. If all were considered, daemons with stale
     * reports would send to the same idle replica.
     */
    private static final double CONSIDERED_SHARE = 0.1;

    /** Utilization of all slots above which daemons borrow fewer slots of other daemons. */
    private static final double LESS_BORROWING_UTILIZATION = 0.5;

    /** Utilization of all slots at which a replica's slots of other daemons all count as taken. */
    private static final double NO_BORROWING_UTILIZATION = 0.75;

    /** Fraction of a replica's slots that other daemons may have taken since their last report. */
    private static final double UNSEEN_SHARE = 0.4;

    private static final double MICROS_PER_MILLI = 1e3;

    private final PromptCacheEstimate mPromptCache;
    private final SplittableRandom mRandom;
    private SlotShares mShares = SlotShares.UNDIVIDED;
    private long mLastChoiceNanos;

    /**
     * Creates a placement without divided slots.
     *
     * @param promptCache the estimate of the prompt parts that replicas have cached
     * @param seed the seed of the random part of scores
     */
    public Placement(final PromptCacheEstimate promptCache, final long seed) {
        mPromptCache = promptCache;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Sets the division of the slots among daemons.
     *
     * @param shares the slots of this daemon
     */
    public void onShares(final SlotShares shares) {
        mShares = shares;
    }

    /**
     * Chooses the replica for a request.
     *
     * @param work the size of the request
     * @param replicas the replicas of its upstream
     * @param excluded ids of replicas that must not be used
     * @param millisLeft the time in milliseconds until the request's deadline
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the choice, or empty if no replica may be used
     */
    public Optional<Choice> choose(
            final WorkSize work,
            final Collection<Replica> replicas,
            final Set<String> excluded,
            final double millisLeft,
            final long nowNanos) {
        mLastChoiceNanos = nowNanos;
        final Context context =
                new Context(
                        work,
                        ratios(work, replicas),
                        preferred(work, replicas, nowNanos),
                        borrowing(replicas, nowNanos),
                        millisLeft,
                        nowNanos);
        final List<Replica> usable = new ArrayList<>(replicas.size());
        final List<Replica> healthy = new ArrayList<>(replicas.size());
        final List<Replica> considered = new ArrayList<>(replicas.size());
        final List<Replica> lastResort = new ArrayList<>();
        for (final Replica replica : replicas) {
            if (replica.isWithdrawn() || excluded.contains(replica.entry().id())) {
                continue;
            }
            if (!replica.isOpen(nowNanos)) {
                if (replica.availability().isLastResort(nowNanos)) {
                    lastResort.add(replica);
                }
                continue;
            }
            usable.add(replica);
            if (!replica.health().isEjected(nowNanos)) {
                healthy.add(replica);
                if (isConsidered(context, replica)) {
                    considered.add(replica);
                }
            }
        }
        if (!considered.isEmpty()) {
            return best(context, considered);
        }
        if (!healthy.isEmpty()) {
            return best(context, healthy);
        }
        // Ejected replicas are used only if there is no other one, and leaving ones after them.
        return best(context, usable.isEmpty() ? lastResort : usable);
    }

    /** Chooses by score; a replica without room is chosen only if none has any. */
    private Optional<Choice> best(final Context context, final List<Replica> candidates) {
        Choice best = null;
        for (final Replica replica : candidates) {
            final Choice choice = predict(context, replica);
            if (best == null || isBetter(choice, best)) {
                best = choice;
            }
        }
        return context.ratios() == ASSUMED_RATIOS || best == null
                ? Optional.ofNullable(best)
                : Optional.of(describeCached(context, best));
    }

    /** Adds the part that may be cached, which would cost too much time for each candidate. */
    private Choice describeCached(final Context context, final Choice choice) {
        final WorkSize work = context.work();
        return CachedPrompt.addTo(
                choice,
                work,
                mPromptCache.cachedTokens(work, choice.replica(), context.nowNanos()),
                CachedPrompt.rank(context.preferred(), choice.replica()));
    }

    private static boolean isBetter(final Choice choice, final Choice other) {
        final boolean hasRoom = choice.forecast().hasRoom();
        return hasRoom == other.forecast().hasRoom()
                ? choice.scoreMillis() < other.scoreMillis()
                : hasRoom;
    }

    /**
     * Contains a replica and the predictions for a request there.
     *
     * @param replica the replica
     * @param firstMillis the predicted time to the first event, or to the response of a plain
     *     service, in milliseconds
     * @param waitMillis the part of {@code firstMillis} that the request waits for a slot
     * @param totalMillis the predicted time to the end of the response in milliseconds
     * @param prefillTokens the predicted prompt tokens that are not cached at the replica
     * @param load the estimated running and waiting requests at the replica
     * @param withheld the slots at the replica that are left to other daemons; the score counts
     *     them as taken
     * @param scoreMillis the score, lower is better
     * @param cached the part of the prompt that may be cached at the replica
     */
    public record Choice(
            Replica replica,
            double firstMillis,
            double waitMillis,
            double totalMillis,
            int prefillTokens,
            double load,
            double withheld,
            double scoreMillis,
            CachedPrompt cached) {
        /**
         * Returns how long the response takes from the time at which the request gets a slot.
         *
         * @return the forecast
         */
        public RunForecast run() {
            return new RunForecast(firstMillis - waitMillis, totalMillis - waitMillis);
        }

        /**
         * Returns what the request finds at the replica.
         *
         * @return the forecast, without the slots that are left to other daemons
         */
        public ReplicaForecast forecast() {
            final int slots = replica.entry().slots();
            return new ReplicaForecast(slots - load - withheld, slots, firstMillis);
        }
    }

    /**
     * Predicts the shortest run of a request that no replica takes now.
     *
     * @param work the size of the request
     * @param replicas the replicas of its upstream, may be empty
     * @return the run at the fastest replica without other requests
     */
    public RunForecast fastestRun(final WorkSize work, final Collection<Replica> replicas) {
        final PromptHitRatios ratios = ratios(work, replicas);
        RunForecast fastest = null;
        for (final Replica replica : replicas) {
            final double tokenMillis = replica.tokenMillis(TYPICAL_TOKEN_MILLIS);
            final RunForecast run =
                    idleRun(
                            work,
                            ratios.uncachedTokens(
                                    work,
                                    mPromptCache.cachedTokens(work, replica, mLastChoiceNanos),
                                    -1),
                            tokenMillis,
                            replica.prefillTokenMicros(
                                    tokenMillis * PREFILL_MICROS_PER_TOKEN_MILLI),
                            replica.serviceMillis(TYPICAL_PLAIN_MILLIS));
            if (fastest == null || run.totalMillis() < fastest.totalMillis()) {
                fastest = run;
            }
        }
        return fastest != null
                ? fastest
                : idleRun(
                        work,
                        work.promptTokens(),
                        TYPICAL_TOKEN_MILLIS,
                        TYPICAL_TOKEN_MILLIS * PREFILL_MICROS_PER_TOKEN_MILLI,
                        TYPICAL_PLAIN_MILLIS);
    }

    private static RunForecast idleRun(
            final WorkSize work,
            final int uncachedTokens,
            final double tokenMillis,
            final double prefillMicros,
            final double plainMillis) {
        if (work.outputTokens() <= 0) {
            return new RunForecast(plainMillis, plainMillis);
        }
        final double prefillMillis = uncachedTokens * prefillMicros / MICROS_PER_MILLI;
        return new RunForecast(
                prefillMillis + tokenMillis, prefillMillis + work.outputTokens() * tokenMillis);
    }

    /**
     * Contains the inputs of a choice that are the same for all replicas.
     *
     * @param work the size of the request
     * @param ratios the fractions of prompts that are cached
     * @param preferred the preferred replicas of its session, the best first
     * @param borrowing the limits on the use of slots of other daemons
     * @param millisLeft the time in milliseconds until its deadline
     * @param nowNanos the current monotonic time in nanoseconds
     */
    private record Context(
            WorkSize work,
            PromptHitRatios ratios,
            Replica[] preferred,
            BorrowingLimits borrowing,
            double millisLeft,
            long nowNanos) {}

    private Choice predict(final Context context, final Replica replica) {
        final WorkSize work = context.work();
        final int slots = replica.entry().slots();
        final double expected = expectedLoad(replica, context.nowNanos());
        final double withheld =
                mShares.hasFreeSlot(replica) ? 0 : slots * context.borrowing().withheldShare();
        final double load = expected + withheld;
        final double tokenMillis = replica.tokenMillis(TYPICAL_TOKEN_MILLIS);
        final double decodeMillis = work.outputTokens() * tokenMillis;
        final double prefillMicros =
                replica.prefillTokenMicros(tokenMillis * PREFILL_MICROS_PER_TOKEN_MILLI);
        final int cachedTokens = mPromptCache.cachedTokens(work, replica, context.nowNanos());
        final int rank = CachedPrompt.rank(context.preferred(), replica);
        final int uncachedTokens = context.ratios().uncachedTokens(work, cachedTokens, rank);
        final double ownPrefillMillis = uncachedTokens * prefillMicros / 1_000.0;
        final double prefillMillis =
                ownPrefillMillis + replica.pendingPrefill() * prefillMicros / 1_000.0;
        final double serviceMillis =
                replica.serviceMillis(
                        work.outputTokens() > 0
                                ? decodeMillis + prefillMillis
                                : TYPICAL_PLAIN_MILLIS);
        final double queuedRequests = Math.max(0.0, load - slots + 1.0);
        final double waitMillis = queuedRequests * serviceMillis / slots;
        final double baseMillis =
                work.outputTokens() > 0
                        ? prefillMillis + tokenMillis
                        : Math.min(serviceMillis, 1_000.0);
        final double firstMillis = waitMillis + baseMillis + replica.predictionErrorMillis();
        final double totalMillis = Math.max(firstMillis, waitMillis + prefillMillis + decodeMillis);
        final double overrunMillis =
                Math.max(
                        0.0,
                        waitMillis
                                + prefillMillis
                                + decodeMillis * LENGTH_MARGIN
                                - context.millisLeft());
        final double score =
                firstMillis
                        + ownPrefillMillis * (PREFILL_WEIGHT - 1.0)
                        + FULL_LOAD_MILLIS * load / slots
                        + delayPenalty(work, prefillMillis, Math.min(load, slots))
                        + overrunMillis
                        + FAILURE_MILLIS * replica.health().failureRate()
                        + (replica.health().isOnProbation() ? PROBATION_MILLIS : 0.0)
                        + mRandom.nextDouble() * JITTER_MILLIS;
        return new Choice(
                replica,
                firstMillis,
                waitMillis,
                totalMillis,
                uncachedTokens,
                expected,
                withheld,
                score,
                CachedPrompt.NONE);
    }

    /**
     * Returns the penalty for the running streams that a prefill delays. Engines prefill in chunks
     * between the tokens of running requests, so a long prefill on a slow replica makes all of them
     * late.
     */
    private static double delayPenalty(
            final WorkSize work, final double prefillMillis, final double running) {
        if (work.maximumGapMillis() <= 0) {
            return 0;
        }
        final double ratio = prefillMillis / work.maximumGapMillis();
        final double delayed = (ratio - DELAY_BEGIN_RATIO) / (DELAY_FULL_RATIO - DELAY_BEGIN_RATIO);
        return DELAYED_STREAM_MILLIS * running * Math.max(0.0, Math.min(1.0, delayed));
    }

    /**
     * Contains the limits on the use of slots that belong to other daemons.
     *
     * @param consideredShare the fraction of the replicas that a request considers
     * @param withheldShare the fraction of a replica's slots that is left to their owners; above 1
     *     if utilization exceeds {@link #NO_BORROWING_UTILIZATION}
     */
    private record BorrowingLimits(double consideredShare, double withheldShare) {
        static final BorrowingLimits UNLIMITED = new BorrowingLimits(1.0, 0.0);
    }

    /** Computes the limits: the more slots are in use, the fewer a daemon borrows. */
    private BorrowingLimits borrowing(final Collection<Replica> replicas, final long nowNanos) {
        if (replicas.isEmpty()
                || !mShares.isDivided(replicas.iterator().next().entry().upstream())) {
            return BorrowingLimits.UNLIMITED;
        }
        double load = 0;
        int slots = 0;
        for (final Replica replica : replicas) {
            // The slots of an evacuated zone are a large part of all, and none of them is free.
            if (!replica.isEvacuated()) {
                load += replica.load(nowNanos);
                slots += replica.entry().slots();
            }
        }
        if (slots == 0) {
            return BorrowingLimits.UNLIMITED;
        }
        final double scarcity =
                Math.max(
                        0,
                        (load / slots - LESS_BORROWING_UTILIZATION)
                                / (NO_BORROWING_UTILIZATION - LESS_BORROWING_UTILIZATION));
        return new BorrowingLimits(
                CONSIDERED_SHARE, UNSEEN_SHARE + scarcity * (1.0 - UNSEEN_SHARE));
    }

    /** Estimates the load, and counts a free slot of this daemon as free despite stale reports. */
    private double expectedLoad(final Replica replica, final long nowNanos) {
        final double load = replica.load(nowNanos);
        return mShares.hasFreeSlot(replica) ? Math.min(load, replica.entry().slots() - 1.0) : load;
    }

    private boolean isConsidered(final Context context, final Replica replica) {
        final double share = context.borrowing().consideredShare();
        return share >= 1.0
                || mShares.hasFreeSlot(replica)
                || context.preferred().length > 0 && context.preferred()[0] == replica
                || mRandom.nextDouble() < share;
    }

    private PromptHitRatios ratios(final WorkSize work, final Collection<Replica> replicas) {
        return work.parts().isEmpty() || replicas.isEmpty()
                ? ASSUMED_RATIOS
                : mPromptCache
                        .measuredRatios(replicas.iterator().next().entry().upstream())
                        .orElse(ASSUMED_RATIOS);
    }

    /**
     * Returns the usable replicas with the highest affinity scores for a session, highest first.
     */
    private static Replica[] preferred(
            final WorkSize work, final Collection<Replica> replicas, final long nowNanos) {
        final long session = work.sessionHash();
        final Replica[] preferred = new Replica[session == 0 ? 0 : PromptHitRatios.PREFERRED];
        final long[] scores = new long[preferred.length];
        for (final Replica replica : replicas) {
            if (preferred.length == 0
                    || !replica.isOpen(nowNanos)
                    || replica.health().isEjected(nowNanos)) {
                continue;
            }
            Replica candidate = replica;
            long score = Affinity.score(session, replica);
            for (int rank = 0; rank < preferred.length; rank++) {
                if (preferred[rank] == null || score > scores[rank]) {
                    final Replica lower = preferred[rank];
                    final long lowerScore = scores[rank];
                    preferred[rank] = candidate;
                    scores[rank] = score;
                    candidate = lower;
                    score = lowerScore;
                }
                if (candidate == null) {
                    break;
                }
            }
        }
        return preferred;
    }
}
