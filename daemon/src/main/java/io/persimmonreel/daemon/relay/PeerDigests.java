package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.core.peer.PeerMessage.ReplicaWork;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Keeps the last digest of each peer and adds up the work that they report. Not thread safe.
 *
 * <p>A digest covers the work of its sender. A digest from a hub to another hub also covers the
 * leaves that report to the sender; a digest from a hub to such a leaf covers the whole fleet,
 * including the leaf's own work.
 */
final class PeerDigests {
    /**
     * A peer whose digest is older than this is considered silent; several digests are missing by
     * then.
     */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final int MICROS_PER_MILLI = 1_000;

    private final ReplicaRegistry mReplicas;
    private final Map<Incarnation, PeerEntry> mEntries = new HashMap<>();

    /** Holds the last digest of a peer. */
    private static final class PeerEntry {
        private RelayDigest mDigest;
        private long mReceivedNanos;
    }

    /**
     * Combines the work of several daemons at one replica: the sums of the requests and prefill
     * tokens, and the longest time per token.
     */
    private static final class CombinedWork {
        private int mInFlight;
        private int mPrefillTokens;
        private int mMaximumTokenMicros;

        void add(final ReplicaWork work) {
            mInFlight += work.inFlight();
            mPrefillTokens += work.prefillTokens();
            mMaximumTokenMicros = Math.max(mMaximumTokenMicros, work.tokenMicros());
        }
    }

    PeerDigests(final ReplicaRegistry replicas) {
        mReplicas = replicas;
    }

    void onDigest(final Incarnation peer, final RelayDigest digest, final long nowNanos) {
        final PeerEntry entry = mEntries.computeIfAbsent(peer, key -> new PeerEntry());
        entry.mDigest = digest;
        entry.mReceivedNanos = nowNanos;
    }

    void forget(final Incarnation peer) {
        mEntries.remove(peer);
    }

    boolean hasRecentDigest(final Incarnation peer, final long nowNanos) {
        final PeerEntry entry = mEntries.get(peer);
        return entry != null && nowNanos - entry.mReceivedNanos <= SILENCE_NANOS;
    }

    /**
     * Returns whether the last digest of a peer is not empty, that is, the peer reports its work to
     * this daemon.
     */
    boolean reportsWorkHere(final Incarnation peer) {
        final PeerEntry entry = mEntries.get(peer);
        return entry != null && entry.mDigest.daemons() > 0;
    }

    /** Returns the number of daemons that the digests of the given peers cover. */
    int daemonCount(final Collection<Incarnation> peers, final long nowNanos) {
        return peers.stream()
                .filter(peer -> hasRecentDigest(peer, nowNanos))
                .mapToInt(peer -> mEntries.get(peer).mDigest.daemons())
                .sum();
    }

    /** Returns this daemon's own work at replicas. */
    List<ReplicaWork> ownWork() {
        return work(Map.of());
    }

    /** Returns the work of this daemon and the given peers at replicas, combined. */
    List<ReplicaWork> totalWork(final Collection<Incarnation> peers, final long nowNanos) {
        return work(sums(peers, nowNanos));
    }

    /**
     * Updates each replica with the work of other daemons.
     *
     * @param peers the peers whose digests are added up
     * @param includesOwn whether these digests include this daemon's own work
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void apply(
            final Collection<Incarnation> peers, final boolean includesOwn, final long nowNanos) {
        final Map<String, CombinedWork> sums = sums(peers, nowNanos);
        for (final Replica replica : mReplicas.all()) {
            final CombinedWork sum = sums.getOrDefault(replica.entry().id(), new CombinedWork());
            final int ownInFlight = includesOwn ? replica.ownInFlight() : 0;
            final int ownPrefillTokens = includesOwn ? replica.ownPendingPrefill() : 0;
            replica.onPeerLoad(
                    Math.max(0, sum.mInFlight - ownInFlight),
                    Math.max(0, sum.mPrefillTokens - ownPrefillTokens));
            replica.onPeerTokenTime((double) sum.mMaximumTokenMicros / MICROS_PER_MILLI);
        }
    }

    private Map<String, CombinedWork> sums(
            final Collection<Incarnation> peers, final long nowNanos) {
        final Map<String, CombinedWork> sums = new HashMap<>();
        for (final Incarnation peer : peers) {
            if (hasRecentDigest(peer, nowNanos)) {
                for (final ReplicaWork work : mEntries.get(peer).mDigest.replicas()) {
                    sums.computeIfAbsent(work.replica(), id -> new CombinedWork()).add(work);
                }
            }
        }
        return sums;
    }

    private List<ReplicaWork> work(final Map<String, CombinedWork> others) {
        final List<ReplicaWork> work = new ArrayList<>();
        final Predicate<ReplicaWork> isNonZero =
                w -> w.inFlight() > 0 || w.prefillTokens() > 0 || w.tokenMicros() > 0;
        for (final Replica replica : mReplicas.all()) {
            final CombinedWork own = new CombinedWork();
            own.add(
                    new ReplicaWork(
                            replica.entry().id(),
                            replica.ownInFlight(),
                            replica.ownPendingPrefill(),
                            (int) (replica.measuredTokenMillis() * MICROS_PER_MILLI)));
            final CombinedWork other =
                    others.getOrDefault(replica.entry().id(), new CombinedWork());
            final ReplicaWork total =
                    new ReplicaWork(
                            replica.entry().id(),
                            own.mInFlight + other.mInFlight,
                            own.mPrefillTokens + other.mPrefillTokens,
                            own.mMaximumTokenMicros > 0
                                    ? own.mMaximumTokenMicros
                                    : other.mMaximumTokenMicros);
            if (isNonZero.test(total)) {
                work.add(total);
            }
        }
        return work;
    }
}
