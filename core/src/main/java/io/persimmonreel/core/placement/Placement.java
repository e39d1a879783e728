package io.persimmonreel.core.placement;

import io.persimmonreel.core.replica.Affinity;
import io.persimmonreel.core.replica.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Chooses the replica that will give the first event soonest, with regard to the requests that run
 * there.
 *
 * <p>It answers unlike engines under stale load reports: predictions come from requests in flight,
 * learned speeds and the prompt parts that a replica holds. Long outputs avoid slow replicas, and
 * requests of one session go to one home replica unless it is busy. Not thread safe.
 */
public final class Placement {
    /** Time for one token before anything was learned, in milliseconds. */
    public static final double TYPICAL_TOKEN_MILLIS = 6.0;

    /** Ratio of the time to read a prompt token to the time to generate one, in microseconds. */
    private static final double PREFILL_MICROS_PER_TOKEN_MILLI = 4.0;

    /** Service time of a plain request before anything was learned, in milliseconds. */
    private static final double TYPICAL_PLAIN_MILLIS = 50.0;

    /** Weight of a full replica against an empty one, in milliseconds. */
    private static final double LOAD_MILLIS = 120.0;

    /**
     * Weight of a request whose tokens pause for too long while a prompt is read, in milliseconds.
     */
    private static final double HARM_MILLIS = 60.0;

    /** Parts of the longest pause at which reading begins to harm, and from which it harms all. */
    private static final double HARM_FROM = 0.5;

    private static final double HARM_FULL = 0.9;

    /** Part of the mean error of predictions that is added to the next ones. */
    private static final double ERROR_SHARE = 0.5;

    /** Weight of a replica that fails all its requests, in milliseconds. */
    private static final double FAILURE_MILLIS = 600.0;

    /** A replica that has not answered since its failures gets few requests. */
    private static final double PROBATION_MILLIS = 150.0;

    /** Output lengths are known to about this factor. */
    private static final double LENGTH_MARGIN = 1.6;

    /**
     * Chance that a session's first, second and third home hold its prompt if other daemons sent it
     * there. Daemons that find the first home busy agree on the next one, too.
     */
    private static final double[] HOME_CHANCES = {0.85, 0.5, 0.25};

    /** A prompt that is read again costs engine time that other requests need. */
    private static final double PREFILL_WEIGHT = 2.5;

    /** Random part of a score in milliseconds, which keeps daemons from choosing alike. */
    private static final double JITTER_MILLIS = 12.0;

    /**
     * Part of the replicas that a request considers where slots are divided, besides those where
     * the daemon has a free slot. With all replicas to choose from, daemons with old reports would
     * fill the same idle one.
     */
    private static final double CONSIDERED_SHARE = 0.1;

    /** Parts of all slots in use up to which slots of others are borrowed, and from which none. */
    private static final double BORROW_UP_TO = 0.5;

    private static final double BORROW_NONE = 0.75;

    /** Part of a replica's slots that others may have taken since the reports were made. */
    private static final double UNSEEN_SHARE = 0.4;

    private final KeptParts mKept;
    private final SplittableRandom mRandom;
    private SlotShares mShares = SlotShares.UNDIVIDED;

    /**
     * Creates a placement.
     *
     * @param kept remembers where prompts were read
     * @param seed the seed of the random part of scores
     */
    public Placement(final KeptParts kept, final long seed) {
        mKept = kept;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Takes the division of the slots among daemons.
     *
     * @param shares this daemon's share
     */
    public void onShares(final SlotShares shares) {
        mShares = shares;
    }

    /**
     * Chooses a replica.
     *
     * @param work the request's work
     * @param replicas the replicas of its upstream
     * @param excluded ids of replicas that must not be used
     * @param millisLeft the time in milliseconds until the request's deadline
     * @param nowNanos the present monotonic time in nanoseconds
     * @return the choice, or empty if no replica may be used
     */
    public Optional<Choice> choose(
            final WorkSize work,
            final Collection<Replica> replicas,
            final Set<String> excluded,
            final double millisLeft,
            final long nowNanos) {
        final Query query =
                new Query(
                        work,
                        homes(work, replicas, nowNanos),
                        borrowing(replicas, nowNanos),
                        millisLeft,
                        nowNanos);
        final List<Replica> usable = new ArrayList<>(replicas.size());
        final List<Replica> healthy = new ArrayList<>(replicas.size());
        final List<Replica> considered = new ArrayList<>(replicas.size());
        for (final Replica replica : replicas) {
            if (replica.entry().draining() || excluded.contains(replica.entry().id())) {
                continue;
            }
            usable.add(replica);
            if (!replica.health().isEjected(nowNanos)) {
                healthy.add(replica);
                if (isConsidered(query, replica)) {
                    considered.add(replica);
                }
            }
        }
        if (!considered.isEmpty()) {
            return best(query, considered);
        }
        // Ejected replicas serve only if there is no other one.
        return best(query, healthy.isEmpty() ? usable : healthy);
    }

    private Optional<Choice> best(final Query query, final List<Replica> candidates) {
        Choice best = null;
        for (final Replica replica : candidates) {
            final Choice choice = predict(query, replica);
            if (best == null || choice.scoreMillis() < best.scoreMillis()) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Holds a chosen replica and what is predicted there.
     *
     * @param replica the replica
     * @param firstMillis the predicted time to the first event or answer in milliseconds
     * @param waitMillis the part of it that the request waits for a slot
     * @param totalMillis the predicted time to the end of the answer in milliseconds
     * @param prefillTokens the prompt tokens that the replica is expected to read
     * @param load the estimated running and waiting requests there
     * @param withheld the slots there that are left to other daemons; they count as taken
     * @param scoreMillis the score, lower is better
     */
    public record Choice(
            Replica replica,
            double firstMillis,
            double waitMillis,
            double totalMillis,
            int prefillTokens,
            double load,
            double withheld,
            double scoreMillis) {}

    /**
     * Holds what is the same for all replicas while one is chosen.
     *
     * @param work the request's work
     * @param homes the homes of its session
     * @param borrowing on which terms it may use slots of other daemons
     * @param millisLeft the time in milliseconds until its deadline
     * @param nowNanos the present monotonic time in nanoseconds
     */
    private record Query(
            WorkSize work,
            Replica[] homes,
            Borrowing borrowing,
            double millisLeft,
            long nowNanos) {}

    private Choice predict(final Query query, final Replica replica) {
        final WorkSize work = query.work();
        final int slots = replica.entry().slots();
        final double believed = believedLoad(replica, query.nowNanos());
        final double withheld =
                mShares.hasFreeSlot(replica) ? 0 : slots * query.borrowing().withheldShare();
        final double load = believed + withheld;
        final double token = replica.tokenMillis(TYPICAL_TOKEN_MILLIS);
        final double decode = work.outputTokens() * token;
        final double prefillMicros =
                replica.prefillTokenMicros(token * PREFILL_MICROS_PER_TOKEN_MILLI);
        final int unread = unread(work, replica, query.homes());
        final double ownPrefill = unread * prefillMicros / 1_000.0;
        final double prefill = ownPrefill + replica.pendingPrefill() * prefillMicros / 1_000.0;
        final double service =
                replica.serviceMillis(
                        work.outputTokens() > 0 ? decode + prefill : TYPICAL_PLAIN_MILLIS);
        final double queued = Math.max(0.0, load - slots + 1.0);
        final double wait = queued * service / slots;
        final double base = work.outputTokens() > 0 ? prefill + token : Math.min(service, 1_000.0);
        final double first = wait + base + ERROR_SHARE * replica.errorMillis();
        final double total = wait + prefill + Math.max(decode, first - wait);
        final double late =
                Math.max(0.0, wait + prefill + decode * LENGTH_MARGIN - query.millisLeft() * 0.8);
        final double score =
                first
                        + ownPrefill * (PREFILL_WEIGHT - 1.0)
                        + LOAD_MILLIS * load / slots
                        + harm(work, prefill, Math.min(load, slots))
                        + late
                        + FAILURE_MILLIS * replica.health().failureRate()
                        + (replica.health().isOnProbation() ? PROBATION_MILLIS : 0.0)
                        + mRandom.nextDouble() * JITTER_MILLIS;
        return new Choice(replica, first, wait, total, unread, believed, withheld, score);
    }

    /**
     * Prompts are read in pieces between the tokens of the requests that run, so that reading a
     * long one on a slow replica makes all of them late.
     */
    private static double harm(final WorkSize work, final double prefill, final double running) {
        if (work.pauseMillis() <= 0) {
            return 0;
        }
        final double part = prefill / work.pauseMillis();
        final double harmed = (part - HARM_FROM) / (HARM_FULL - HARM_FROM);
        return HARM_MILLIS * running * Math.max(0.0, Math.min(1.0, harmed));
    }

    /**
     * Holds on which terms a request may use slots of other daemons.
     *
     * @param consideredShare the part of the replicas that is considered
     * @param withheldShare the part of a replica's slots that is left to their owners
     */
    private record Borrowing(double consideredShare, double withheldShare) {
        static final Borrowing FREE = new Borrowing(1.0, 0.0);
    }

    /** The more slots are in use, the less a daemon takes beyond its own. */
    private Borrowing borrowing(final Collection<Replica> replicas, final long nowNanos) {
        if (replicas.isEmpty()
                || !mShares.isDivided(replicas.iterator().next().entry().upstream())) {
            return Borrowing.FREE;
        }
        double load = 0;
        int slots = 0;
        for (final Replica replica : replicas) {
            load += replica.load(nowNanos);
            slots += replica.entry().slots();
        }
        final double busy =
                Math.max(0, (load / slots - BORROW_UP_TO) / (BORROW_NONE - BORROW_UP_TO));
        return new Borrowing(CONSIDERED_SHARE, UNSEEN_SHARE + busy * (1.0 - UNSEEN_SHARE));
    }

    /** A free slot of one's own counts more than what old reports say. */
    private double believedLoad(final Replica replica, final long nowNanos) {
        final double load = replica.load(nowNanos);
        return mShares.hasFreeSlot(replica) ? Math.min(load, replica.entry().slots() - 1.0) : load;
    }

    private boolean isConsidered(final Query query, final Replica replica) {
        final double share = query.borrowing().consideredShare();
        return share >= 1.0
                || mShares.hasFreeSlot(replica)
                || query.homes().length > 0 && query.homes()[0] == replica
                || mRandom.nextDouble() < share;
    }

    private int unread(final WorkSize work, final Replica replica, final Replica[] homes) {
        final int unread = Math.max(0, work.promptTokens() - mKept.tokens(work, replica));
        for (int rank = 0; rank < homes.length; rank++) {
            if (homes[rank] == replica) {
                return (int) (unread * (1.0 - HOME_CHANCES[rank]));
            }
        }
        return unread;
    }

    /** Returns the usable replicas with the highest scores for a session, the highest first. */
    private static Replica[] homes(
            final WorkSize work, final Collection<Replica> replicas, final long nowNanos) {
        final long session = work.sessionHash();
        final Replica[] homes = new Replica[session == 0 ? 0 : HOME_CHANCES.length];
        final long[] scores = new long[homes.length];
        for (final Replica replica : replicas) {
            if (homes.length == 0
                    || replica.entry().draining()
                    || replica.health().isEjected(nowNanos)) {
                continue;
            }
            Replica candidate = replica;
            long score = Affinity.score(session, replica);
            for (int rank = 0; rank < homes.length; rank++) {
                if (homes[rank] == null || score > scores[rank]) {
                    final Replica lower = homes[rank];
                    final long lowerScore = scores[rank];
                    homes[rank] = candidate;
                    scores[rank] = score;
                    candidate = lower;
                    score = lowerScore;
                }
                if (candidate == null) {
                    break;
                }
            }
        }
        return homes;
    }
}
