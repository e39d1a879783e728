package io.persimmonreel.core.grant;

import io.persimmonreel.core.admission.QueuePosition;
import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.admission.TimeLeft;
import io.persimmonreel.core.grant.SlotListener.ClaimOutcome;
import io.persimmonreel.core.peer.SlotClaim;
import io.persimmonreel.core.peer.SlotGrant;
import io.persimmonreel.core.peer.SlotPlace;
import io.persimmonreel.core.peer.SlotRelease;
import io.persimmonreel.core.peer.SlotUse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Grants the slots of one upstream to the daemons of the fleet, or of one side of a partition.
 *
 * <p>It addresses load of many daemons on few slots: with load reports up to 1.2 s old, daemons
 * that guess which slots are free send a fifth of the requests to full replicas. Claims are ordered
 * as requests are within a daemon, but those of ranks that are served less often than lower ones
 * come first. Not thread safe.
 */
public final class SlotGranter {
    /**
     * For this time after its start, a granter also counts the load that other daemons report,
     * since it knows no grants. Reports come every 400 ms.
     */
    private static final long LEARNING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A claim that is not repeated within this time has no owner any more. */
    private static final long CLAIM_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * While no slot is free, claims are ordered at most this often to answer them. Ordering them
     * for each message took the granter of a fleet under overload more than its processor.
     */
    private static final long ANSWER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final double MAJORITY = 0.5;
    private static final int MAXIMUM_CLAIMS = 4_096;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final String mUpstream;
    private final SlotListener mListener;
    private final long mStartNanos;
    private final SlotLeases mLeases = new SlotLeases();
    private final Map<ClaimKey, QueuedClaim> mQueue = new LinkedHashMap<>();
    private final Map<String, Long> mLastGrants = new HashMap<>();
    private final List<SlotGrant> mRepeated = new ArrayList<>();
    private final List<SlotPlace> mPlaces = new ArrayList<>();
    private final RankBalance mRanks = new RankBalance();
    private final List<QueuedClaim> mNewClaims = new ArrayList<>();
    private final List<QueuedClaim> mOrder = new ArrayList<>();
    private int mUnanswered;
    private long mOrderedNanos;

    /**
     * Creates a granter that knows no grants.
     *
     * @param upstream the upstream's name
     * @param listener observes what becomes of claims
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public SlotGranter(final String upstream, final SlotListener listener, final long nowNanos) {
        mUpstream = upstream;
        mListener = listener;
        mStartNanos = nowNanos;
        mOrderedNanos = nowNanos - ANSWER_INTERVAL_NANOS;
    }

    /**
     * Queues or renews a claim.
     *
     * @param claim the claim
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onClaim(final SlotClaim claim, final long nowNanos) {
        final ClaimKey key = new ClaimKey(claim.origin(), claim.number());
        final Lease lease = mLeases.find(key);
        if (lease != null) {
            // The claim crossed its grant, or the grant was lost.
            mRepeated.add(answer(key, lease.replica(), 0));
        } else if (mQueue.size() < MAXIMUM_CLAIMS || mQueue.containsKey(key)) {
            final QueuedClaim queued = mQueue.computeIfAbsent(key, QueuedClaim::new);
            if (queued.claim() == null) {
                mNewClaims.add(queued);
                mRanks.onQueued(claim.rank(), nowNanos);
                mListener.onClaim(mUpstream, claim.rank(), ClaimOutcome.QUEUED);
            }
            mUnanswered += queued.isUnanswered() ? 0 : 1;
            queued.onStated(claim, nowNanos);
        }
    }

    /** Takes a claim out of the queue. */
    private QueuedClaim remove(final ClaimKey key) {
        final QueuedClaim queued = mQueue.remove(key);
        if (queued != null) {
            queued.end();
            mUnanswered -= queued.isUnanswered() ? 1 : 0;
        }
        return queued;
    }

    /**
     * Ends a grant or a claim.
     *
     * @param release the release
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onRelease(final SlotRelease release, final long nowNanos) {
        final ClaimKey key = new ClaimKey(release.origin(), release.number());
        final QueuedClaim cancelled = remove(key);
        if (cancelled != null) {
            onEnded(cancelled);
        }
        final Optional<Lease> lease =
                mLeases.release(key, release.runMicros() / MICROS_PER_MILLI, nowNanos);
        // A request that was sent so late that its caller left was not served.
        lease.filter(ended -> ended.granted() && release.runMicros() > 0)
                .ifPresent(ended -> mRanks.onServed(ended.rank(), nowNanos));
    }

    /**
     * Renews a grant, or learns of a slot in use.
     *
     * @param use the slot
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onUse(final SlotUse use, final long nowNanos) {
        final ClaimKey key = new ClaimKey(use.origin(), use.number());
        remove(key);
        mLeases.onUse(key, use.replica(), nowNanos);
    }

    /**
     * Records the load that a replica states.
     *
     * @param replica the replica's id
     * @param requests its running and waiting requests
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onStatedLoad(final String replica, final int requests, final long nowNanos) {
        mLeases.onStatedLoad(replica, requests, nowNanos);
    }

    /**
     * Grants free slots to the first claims, and tells new claims how long they will wait.
     *
     * @param replicas the replicas of the upstream
     * @param share the daemons that are heard from, divided by all known ones
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the answers
     */
    public List<SlotGrant> decide(
            final Collection<ReplicaSlots> replicas, final double share, final long nowNanos) {
        mLeases.expire(nowNanos);
        removeExpired(nowNanos);
        final List<SlotGrant> answers = new ArrayList<>(mRepeated);
        mRepeated.clear();
        if (mQueue.isEmpty()) {
            return answers;
        }
        final Capacity capacity = new Capacity(replicas, granted(share), nowNanos);
        final boolean hasRoom = capacity.hasRoom(mLeases.longestTransitNanos());
        if (!hasRoom && (mUnanswered == 0 || nowNanos - answersDueNanos() < 0)) {
            return answers;
        }
        arrange(nowNanos);
        if (hasRoom) {
            answers.addAll(grantInOrder(capacity, nowNanos));
        }
        answers.addAll(answerWaiting(capacity, nowNanos));
        return answers;
    }

    /**
     * Returns the fraction of the slots that is granted. The side of a partition that hears most
     * daemons grants all: the others may be dead, and what replicas state beyond the grants shows
     * the slots that the other side uses.
     */
    private static double granted(final double share) {
        return share > MAJORITY ? 1.0 : share;
    }

    /** Returns when claims without an answer may be ordered again only to answer them. */
    private long answersDueNanos() {
        return mOrderedNanos + ANSWER_INTERVAL_NANOS;
    }

    private List<SlotGrant> grantInOrder(final Capacity capacity, final long nowNanos) {
        final List<SlotGrant> grants = new ArrayList<>();
        for (final QueuedClaim next : mOrder) {
            // A slot may be free sooner for a claim of a farther daemon, but claims keep their
            // order.
            if (!capacity.hasRoom(mLeases.transitNanos(next.claim().origin()))) {
                break;
            }
            capacity.take(next.claim()).ifPresent(r -> grants.add(grant(next, r, nowNanos)));
        }
        return grants;
    }

    private SlotGrant grant(
            final QueuedClaim waiting, final ReplicaSlots replica, final long nowNanos) {
        remove(waiting.key());
        mLeases.grant(
                waiting.key(),
                waiting.claim().rank(),
                replica.replica(),
                replica.slots(),
                nowNanos);
        mLastGrants.put(replica.replica(), nowNanos);
        mListener.onClaim(mUpstream, waiting.claim().rank(), ClaimOutcome.GRANTED);
        return answer(waiting.key(), replica.replica(), 0);
    }

    /** Tells claims without an answer how long they will wait. */
    private List<SlotGrant> answerWaiting(final Capacity capacity, final long nowNanos) {
        final List<SlotGrant> answers = new ArrayList<>();
        final NavigableMap<Integer, Integer> aheadByRank = new TreeMap<>();
        int ahead = 0;
        for (final QueuedClaim waiting : mOrder) {
            if (waiting.isEnded()) {
                continue;
            }
            final int rank = waiting.claim().rank();
            if (waiting.isUnanswered()) {
                waiting.onAnswered();
                mUnanswered--;
                final double wait = (ahead + 1) * capacity.intervalMillis();
                answers.add(
                        answer(
                                waiting.key(),
                                "",
                                (int) Math.min(wait, latestWaitMillis(waiting, nowNanos))));
                final int lower =
                        aheadByRank.tailMap(rank, false).values().stream()
                                .mapToInt(Integer::intValue)
                                .sum();
                mPlaces.add(
                        new SlotPlace(
                                waiting.key().origin(),
                                waiting.key().number(),
                                mUpstream,
                                ahead,
                                lower,
                                mQueue.size(),
                                mLeases.size(),
                                capacity.mLimit));
            }
            ahead++;
            aheadByRank.merge(rank, 1, Integer::sum);
        }
        return answers;
    }

    /**
     * Returns the places of the claims that the last decision told to wait.
     *
     * @return the places
     */
    List<SlotPlace> takePlaces() {
        final List<SlotPlace> places = List.copyOf(mPlaces);
        mPlaces.clear();
        return places;
    }

    /**
     * Returns when a decision may have another result without a message.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the monotonic time in nanoseconds, empty if no claim waits
     */
    public Optional<Long> nextNanos(final long nowNanos) {
        if (mQueue.isEmpty()) {
            return Optional.empty();
        }
        final long free = mLeases.nextNanos(first().claim().origin(), nowNanos);
        return Optional.of(
                mUnanswered > 0 && answersDueNanos() - free < 0 ? answersDueNanos() : free);
    }

    /** Returns the first claim that waits, in the order of the last decision. */
    private QueuedClaim first() {
        return Stream.concat(mOrder.stream(), mNewClaims.stream())
                .filter(waiting -> !waiting.isEnded())
                .findFirst()
                .orElseThrow();
    }

    private void removeExpired(final long nowNanos) {
        final List<QueuedClaim> expired = new ArrayList<>();
        for (final QueuedClaim waiting : mQueue.values()) {
            if (isExpired(waiting, nowNanos)) {
                expired.add(waiting);
            }
        }
        expired.forEach(waiting -> remove(waiting.key()));
        expired.forEach(this::onEnded);
    }

    private void onEnded(final QueuedClaim waiting) {
        mListener.onClaim(mUpstream, waiting.claim().rank(), ClaimOutcome.ENDED);
    }

    private boolean isExpired(final QueuedClaim waiting, final long nowNanos) {
        final long age = nowNanos - waiting.receivedNanos();
        return age >= CLAIM_EXPIRY_NANOS
                || age / NANOS_PER_MILLI > waiting.claim().deadlineMillis();
    }

    /**
     * Orders the claims of all daemons by their position. Of those that can be on time, and of the
     * rest, the claims of ranks that were served less often than a lower one come first. The order
     * before is nearly that of now, which makes it cheap to sort.
     */
    private void arrange(final long nowNanos) {
        mOrder.removeIf(QueuedClaim::isEnded);
        mNewClaims.removeIf(QueuedClaim::isEnded);
        mOrder.addAll(mNewClaims);
        mNewClaims.clear();
        final Set<Integer> ranks = new HashSet<>();
        mOrder.forEach(waiting -> ranks.add(waiting.claim().rank()));
        final Set<Integer> behind = mRanks.behind(ranks, nowNanos);
        for (final QueuedClaim waiting : mOrder) {
            waiting.place(position(waiting, nowNanos), behind.contains(waiting.claim().rank()));
        }
        mOrder.sort(QueuedClaim.ORDER);
        mOrderedNanos = nowNanos;
        mListener.onOrdered(mUpstream, mOrder.size());
    }

    private QueuePosition position(final QueuedClaim waiting, final long nowNanos) {
        return QueuePosition.of(left(waiting, nowNanos), run(waiting), waiting.claim().rank());
    }

    /**
     * Returns the time in milliseconds after which a claim that can be on time is the first one,
     * infinite if it can't be. Of the claims that are ahead of it now, those that get no slot until
     * then are late and come after it.
     */
    private double latestWaitMillis(final QueuedClaim waiting, final long nowNanos) {
        final double punctualStart =
                left(waiting, nowNanos).latestPunctualStartMillis(run(waiting));
        return punctualStart < 0 ? Double.POSITIVE_INFINITY : punctualStart;
    }

    /** Counts the ways of the claim and of the grant as time in which the request can't run. */
    private TimeLeft left(final QueuedClaim waiting, final long nowNanos) {
        final SlotClaim claim = waiting.claim();
        final double passedMillis =
                mLeases.transitMillis(claim.origin())
                        + (nowNanos - waiting.receivedNanos()) / NANOS_PER_MILLI;
        final double deadline = claim.deadlineMillis() - passedMillis;
        final double objective = claim.objectiveMillis() - passedMillis;
        return new TimeLeft(Math.min(objective, deadline), deadline, deadline);
    }

    private RunForecast run(final QueuedClaim waiting) {
        final double runMillis =
                mLeases.runs().meanMillis() + mLeases.transitMillis(waiting.claim().origin());
        return new RunForecast(runMillis, runMillis);
    }

    private SlotGrant answer(final ClaimKey key, final String replica, final int waitMillis) {
        return new SlotGrant(key.origin(), key.number(), mUpstream, replica, waitMillis);
    }

    /** Tracks the free slots during one decision. */
    private final class Capacity {
        private final List<ReplicaSlots> mOpen;
        private final double mShare;
        private final long mNowNanos;
        private final int mLimit;

        Capacity(final Collection<ReplicaSlots> replicas, final double share, final long nowNanos) {
            mOpen = replicas.stream().filter(ReplicaSlots::open).toList();
            mShare = share;
            mNowNanos = nowNanos;
            final int slots = mOpen.stream().mapToInt(ReplicaSlots::slots).sum();
            mLimit = slots == 0 ? 0 : Math.max(1, (int) Math.floor(slots * share));
        }

        double intervalMillis() {
            return mLeases.runs().meanMillis() / Math.max(1, mLimit);
        }

        /** Returns whether any slot is free for a request that arrives after a transit. */
        boolean hasRoom(final long transitNanos) {
            int used = 0;
            boolean isAnyFree = false;
            for (final ReplicaSlots replica : mOpen) {
                final int inUse = inUse(replica, transitNanos);
                used += inUse;
                isAnyFree |= granted(replica) > inUse;
            }
            return isAnyFree && used < mLimit;
        }

        /** Finds the replica with the smallest part of its slots in use, in turn among equals. */
        Optional<ReplicaSlots> take(final SlotClaim claim) {
            final long transitNanos = mLeases.transitNanos(claim.origin());
            return mOpen.stream()
                    .filter(replica -> !claim.excluded().contains(replica.replica()))
                    .filter(replica -> granted(replica) > inUse(replica, transitNanos))
                    .min(
                            Comparator.<ReplicaSlots>comparingDouble(
                                            replica ->
                                                    (double) inUse(replica, transitNanos)
                                                            / replica.slots())
                                    .thenComparingLong(
                                            replica ->
                                                    mLastGrants.getOrDefault(
                                                            replica.replica(), Long.MIN_VALUE)));
        }

        /** Returns the slots of a replica that are granted at most. */
        private int granted(final ReplicaSlots replica) {
            return (int) Math.ceil(replica.slots() * mShare);
        }

        private int inUse(final ReplicaSlots replica, final long transitNanos) {
            final int leased = mLeases.inUse(replica.replica(), transitNanos, mNowNanos);
            return mNowNanos - mStartNanos >= LEARNING_NANOS
                    ? leased
                    : Math.max(leased, (int) Math.ceil(replica.load()));
        }
    }
}
