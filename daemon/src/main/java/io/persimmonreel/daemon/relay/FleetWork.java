package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.core.peer.PeerMessage.ReplicaWork;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Adds up what other daemons do at replicas and use of quotas. Not thread safe.
 *
 * <p>A peer speaks for itself, or as a hub for the daemons that it counts. A hub's digest to one of
 * its leaves speaks for the whole fleet, the leaf's own work included.
 */
final class FleetWork {
    /** A peer whose digest is older than this is silent; several digests are lost by then. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final int MICROS_PER_MILLI = 1_000;

    private final ReplicaSet mReplicas;
    private final FleetQuota mQuota;
    private final Map<Incarnation, Heard> mHeard = new HashMap<>();

    /** Holds the last digest of a peer and the use that was not passed on yet. */
    private static final class Heard {
        private RelayDigest mDigest;
        private long mNanos;
        private final Map<String, Long> mUse = new HashMap<>();
    }

    /** Holds sums over several daemons for one replica. */
    private static final class Sum {
        private int mInFlight;
        private int mPrefill;
        private int mTokenMicros;

        void add(final ReplicaWork work) {
            mInFlight += work.inFlight();
            mPrefill += work.prefillTokens();
            mTokenMicros = Math.max(mTokenMicros, work.tokenMicros());
        }
    }

    FleetWork(final ReplicaSet replicas, final FleetQuota quota) {
        mReplicas = replicas;
        mQuota = quota;
    }

    void onDigest(final Incarnation peer, final RelayDigest digest, final long nowNanos) {
        final Heard heard = mHeard.computeIfAbsent(peer, key -> new Heard());
        heard.mDigest = digest;
        heard.mNanos = nowNanos;
    }

    /** Takes the use of quotas that a peer whose digest was taken reports since the one before. */
    void onUse(final Incarnation peer, final Map<String, Long> use) {
        mQuota.onPeerUse(use);
        final Map<String, Long> unreported = mHeard.get(peer).mUse;
        use.forEach((name, units) -> unreported.merge(name, units, Long::sum));
    }

    void forget(final Incarnation peer) {
        mHeard.remove(peer);
    }

    boolean isHeard(final Incarnation peer, final long nowNanos) {
        final Heard heard = mHeard.get(peer);
        return heard != null && nowNanos - heard.mNanos <= SILENT_NANOS;
    }

    /** Tells whether a peer reports its own work and use to this daemon. */
    boolean isCountedHere(final Incarnation peer) {
        final Heard heard = mHeard.get(peer);
        return heard != null && heard.mDigest.daemons() > 0;
    }

    /** Returns the daemons that the given peers speak for. */
    int daemons(final Collection<Incarnation> peers, final long nowNanos) {
        return peers.stream()
                .filter(peer -> isHeard(peer, nowNanos))
                .mapToInt(peer -> mHeard.get(peer).mDigest.daemons())
                .sum();
    }

    /** Returns the use that peers reported since the last call, by peer. */
    Map<Incarnation, Map<String, Long>> takeUse() {
        final Map<Incarnation, Map<String, Long>> use = new HashMap<>();
        mHeard.forEach(
                (peer, heard) -> {
                    if (!heard.mUse.isEmpty()) {
                        use.put(peer, Map.copyOf(heard.mUse));
                        heard.mUse.clear();
                    }
                });
        return use;
    }

    /** Returns this daemon's own work at replicas. */
    List<ReplicaWork> own() {
        return work(Map.of());
    }

    /** Returns this daemon's work and that of the given peers. */
    List<ReplicaWork> ownAnd(final Collection<Incarnation> peers, final long nowNanos) {
        return work(sums(peers, nowNanos));
    }

    /**
     * Tells the replicas what other daemons do there.
     *
     * @param peers the peers that count
     * @param includesOwn whether their digests include this daemon's own work
     * @param nowNanos the present monotonic time in nanoseconds
     */
    void apply(
            final Collection<Incarnation> peers, final boolean includesOwn, final long nowNanos) {
        final Map<String, Sum> sums = sums(peers, nowNanos);
        for (final Replica replica : mReplicas.all()) {
            final Sum sum = sums.getOrDefault(replica.entry().id(), new Sum());
            final int own = includesOwn ? replica.ownInFlight() : 0;
            final int ownPrefill = includesOwn ? replica.ownPrefill() : 0;
            replica.onPeers(
                    Math.max(0, sum.mInFlight - own), Math.max(0, sum.mPrefill - ownPrefill));
            replica.onPeerTokenTime((double) sum.mTokenMicros / MICROS_PER_MILLI);
        }
    }

    private Map<String, Sum> sums(final Collection<Incarnation> peers, final long nowNanos) {
        final Map<String, Sum> sums = new HashMap<>();
        for (final Incarnation peer : peers) {
            if (isHeard(peer, nowNanos)) {
                for (final ReplicaWork work : mHeard.get(peer).mDigest.replicas()) {
                    sums.computeIfAbsent(work.replica(), id -> new Sum()).add(work);
                }
            }
        }
        return sums;
    }

    private List<ReplicaWork> work(final Map<String, Sum> others) {
        final List<ReplicaWork> work = new ArrayList<>();
        final Predicate<ReplicaWork> says =
                w -> w.inFlight() > 0 || w.prefillTokens() > 0 || w.tokenMicros() > 0;
        for (final Replica replica : mReplicas.all()) {
            final Sum sum = new Sum();
            sum.add(
                    new ReplicaWork(
                            replica.entry().id(),
                            replica.ownInFlight(),
                            replica.ownPrefill(),
                            (int) (replica.learnedTokenMillis() * MICROS_PER_MILLI)));
            final Sum other = others.getOrDefault(replica.entry().id(), new Sum());
            final ReplicaWork total =
                    new ReplicaWork(
                            replica.entry().id(),
                            sum.mInFlight + other.mInFlight,
                            sum.mPrefill + other.mPrefill,
                            sum.mTokenMicros > 0 ? sum.mTokenMicros : other.mTokenMicros);
            if (says.test(total)) {
                work.add(total);
            }
        }
        return work;
    }
}
