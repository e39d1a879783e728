package io.persimmonreel.core.stream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Assigns new streams to software versions, and tells at which version a stream began.
 *
 * <p>While replicas of several versions are ready, a stream begins at the version of the replica
 * that a rendezvous hash of its key selects among the ready ones. So each daemon can tell the
 * version later from the replicas that were ready: the selected one changes only if it joins or
 * leaves. What was ready in the last minutes is recorded, with the time since when nothing is
 * missing from the record. Not thread safe.
 */
public final class SoftwareVersions {
    /**
     * The longest time without observation that can't hide a replica: one that starts is listed for
     * longer, since it must drain or be silent before its entry is removed.
     */
    static final long MAXIMUM_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

    /** The time for which replicas that left are remembered. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(2);

    /** The time between the start of a replica and its entry, and the error of wall clocks. */
    private static final long START_SLACK_MILLIS = 2_000;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final Map<String, Map<Start, Listing>> mListings = new HashMap<>();
    private final List<ReplicaEntry> mEntriesOfChange = new ArrayList<>();
    private long mGeneration;
    private boolean mIsObserving;

    /**
     * Whether the next replicas are the first ones, whose entries are older than they are known.
     */
    private boolean mIsFirst;

    private long mObservedSinceNanos;
    private long mCurrentNanos;
    private long mCurrentWallMillis;

    /** Identifies one start of a replica. */
    private record Start(String id, long startedMillis, String version) {
        static Start of(final ReplicaEntry entry) {
            return new Start(entry.id(), entry.startedMillis(), entry.version());
        }
    }

    /** Holds when a replica was ready. */
    private static final class Listing {
        private final String mVersion;
        private final long mIdHash;
        private boolean mIsReady = true;
        private long mReadySinceNanos;
        private long mLeftNanos;

        Listing(final Start start, final long readySinceNanos) {
            mVersion = start.version();
            mIdHash = HASHER.hashCharsToLong(start.id());
            mReadySinceNanos = readySinceNanos;
        }

        void leave(final long nowNanos) {
            mIsReady = false;
            mLeftNanos = nowNanos;
        }

        /** Returns whether the replica was ready at some time from {@code fromNanos} on. */
        boolean wasReadySince(final long fromNanos) {
            return mIsReady || mLeftNanos - fromNanos >= 0;
        }

        /** Returns whether the replica was ready all the time from {@code fromNanos} on. */
        boolean isReadySince(final long fromNanos) {
            return mIsReady && mReadySinceNanos - fromNanos <= 0;
        }
    }

    /**
     * Records an entry that the directory had, also if it was removed in the same change.
     *
     * @param entry the entry
     */
    public void onEntry(final ReplicaEntry entry) {
        mEntriesOfChange.add(entry);
    }

    /**
     * Replaces the replicas of all upstreams.
     *
     * @param entries the entries of all current replicas
     * @param nowNanos the current monotonic time in nanoseconds
     * @param nowWallMillis the current wall clock time in milliseconds
     */
    public void onReplicas(
            final Collection<ReplicaEntry> entries, final long nowNanos, final long nowWallMillis) {
        mGeneration++;
        final Set<Start> ready = new HashSet<>();
        for (final ReplicaEntry entry : entries) {
            if (!entry.draining()) {
                ready.add(Start.of(entry));
                onReady(entry, nowNanos, nowWallMillis);
            }
        }
        mEntriesOfChange.forEach(entry -> onListed(entry, nowNanos));
        mEntriesOfChange.clear();
        mIsFirst = false;
        for (final Map<Start, Listing> listings : mListings.values()) {
            listings.forEach(
                    (start, listing) -> {
                        if (listing.mIsReady && !ready.contains(start)) {
                            listing.leave(nowNanos);
                        }
                    });
            listings.values()
                    .removeIf(listing -> !listing.wasReadySince(nowNanos - RETENTION_NANOS));
        }
    }

    /**
     * Records replicas that were listed before the observation began, at unknown times.
     *
     * @param replicas the replicas; one without an entry may have been of any upstream and version
     * @param sinceNanos the monotonic time in nanoseconds since when they are complete
     * @param nowNanos the current monotonic time in nanoseconds
     * @param nowWallMillis the current wall clock time in milliseconds
     */
    public void onPast(
            final Collection<PastReplica> replicas,
            final long sinceNanos,
            final long nowNanos,
            final long nowWallMillis) {
        if (mIsObserving && sinceNanos - mObservedSinceNanos < 0) {
            for (final PastReplica replica : replicas) {
                final long listedNanos = pastNanos(replica.listedMillis(), nowNanos, nowWallMillis);
                final long leftNanos = pastNanos(replica.leftMillis(), nowNanos, nowWallMillis);
                onReturned(replica.id(), leftNanos == nowNanos ? listedNanos : nowNanos);
                replica.entry()
                        .ifPresentOrElse(
                                entry -> onListed(entry, leftNanos),
                                () -> onUnknown(replica.id(), leftNanos));
            }
            mObservedSinceNanos = sinceNanos;
        }
    }

    /**
     * Records that all changes up to a time are known.
     *
     * @param nanos the monotonic time in nanoseconds
     * @param wallMillis the same time by the wall clock, in milliseconds
     */
    public void onCurrent(final long nanos, final long wallMillis) {
        mCurrentNanos = nanos;
        mCurrentWallMillis = wallMillis;
    }

    /**
     * Records that the replicas are replaced without the changes since the last known time. The
     * wall clock shows a suspension of the host, which the monotonic clock may not count.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @param nowWallMillis the current wall clock time in milliseconds
     */
    public void onSnapshot(final long nowNanos, final long nowWallMillis) {
        final long gapNanos =
                Math.max(
                        nowNanos - mCurrentNanos,
                        TimeUnit.MILLISECONDS.toNanos(nowWallMillis - mCurrentWallMillis));
        if (!mIsObserving || gapNanos > MAXIMUM_GAP_NANOS) {
            mIsObserving = true;
            mIsFirst = true;
            mObservedSinceNanos = nowNanos;
        }
    }

    /**
     * Returns the number of changes so far. What {@link #assigned} returns depends on it.
     *
     * @return the number of calls of {@link #onReplicas}
     */
    public long generation() {
        return mGeneration;
    }

    /**
     * Returns the version at which a stream begins now.
     *
     * @param upstream the upstream that serves it
     * @param stream the key of the stream
     * @return the version, or empty if it may begin at any replica
     */
    public Optional<String> assigned(final String upstream, final long stream) {
        final List<Listing> ready =
                listings(upstream).stream().filter(listing -> listing.mIsReady).toList();
        return hasSeveralVersions(ready)
                ? ready.stream().max(byRank(stream)).map(listing -> listing.mVersion)
                : Optional.empty();
    }

    /**
     * Returns the version at which a stream began.
     *
     * @param upstream the upstream that serves it
     * @param stream the key of the stream, empty if it is not known
     * @param fromNanos the earliest monotonic time, in nanoseconds, of the view of the directory
     *     with which a daemon began the stream
     * @return the version, or empty if the stream may have begun at several
     */
    Optional<String> beganAt(
            final String upstream, final Optional<Long> stream, final long fromNanos) {
        if (!isCompleteSince(fromNanos)) {
            return Optional.empty();
        }
        final List<Listing> listings = readySince(upstream, fromNanos);
        return stream.isEmpty() || !hasSeveralVersions(listings)
                ? onlyVersion(listings)
                : onlyVersion(selectable(listings, stream.get(), fromNanos));
    }

    /** Returns whether all replicas since a time are known, and did not have several versions. */
    boolean hasOneVersionSince(final String upstream, final long fromNanos) {
        return isCompleteSince(fromNanos) && !hasSeveralVersions(readySince(upstream, fromNanos));
    }

    /**
     * Returns whether the view of the directory is at most some seconds old.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false if changes before that may be unknown
     */
    boolean isCurrent(final long nowNanos) {
        return mIsObserving && nowNanos - mCurrentNanos <= MAXIMUM_GAP_NANOS;
    }

    private boolean isCompleteSince(final long fromNanos) {
        return mIsObserving && mObservedSinceNanos - fromNanos <= 0;
    }

    /**
     * Returns the replicas that the hash may have selected: those before the first one that was
     * ready all the time, and that one.
     */
    private static List<Listing> selectable(
            final List<Listing> listings, final long stream, final long fromNanos) {
        final List<Listing> selectable = new ArrayList<>();
        for (final Listing listing : listings.stream().sorted(byRank(stream).reversed()).toList()) {
            selectable.add(listing);
            if (listing.isReadySince(fromNanos)) {
                break;
            }
        }
        return selectable;
    }

    private List<Listing> readySince(final String upstream, final long fromNanos) {
        return listings(upstream).stream()
                .filter(listing -> listing.wasReadySince(fromNanos))
                .toList();
    }

    private Collection<Listing> listings(final String upstream) {
        return mListings.getOrDefault(upstream, Map.of()).values();
    }

    private void onReady(final ReplicaEntry entry, final long nowNanos, final long nowWallMillis) {
        final Listing known = listing(entry);
        if (known == null) {
            final long ageMillis =
                    entry.startedMillis() <= 0 || !mIsFirst
                            ? 0
                            : nowWallMillis - entry.startedMillis() - START_SLACK_MILLIS;
            put(entry, nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, ageMillis)));
        } else if (!known.mIsReady) {
            known.mIsReady = true;
            known.mReadySinceNanos = nowNanos;
        }
    }

    /** Records a replica that may have been ready for a time, if it is not known. */
    private void onListed(final ReplicaEntry entry, final long leftNanos) {
        if (listing(entry) == null) {
            put(entry, leftNanos).leave(leftNanos);
        }
    }

    private static long pastNanos(
            final long millis, final long nowNanos, final long nowWallMillis) {
        return nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, nowWallMillis - millis));
    }

    /** Records that a replica that is listed may not have been ready before a time. */
    private void onReturned(final String id, final long readySinceNanos) {
        for (final Map<Start, Listing> listings : mListings.values()) {
            listings.forEach(
                    (start, listing) -> {
                        if (listing.mIsReady
                                && start.id().equals(id)
                                && listing.mReadySinceNanos - readySinceNanos < 0) {
                            listing.mReadySinceNanos = readySinceNanos;
                        }
                    });
        }
    }

    /** Records a replica that may have been ready at any upstream, with a version of its own. */
    private void onUnknown(final String id, final long leftNanos) {
        final Start start = new Start(id, 0, "unknown version of " + id);
        mListings
                .values()
                .forEach(
                        listings -> {
                            final Listing listing = new Listing(start, leftNanos);
                            listing.leave(leftNanos);
                            listings.putIfAbsent(start, listing);
                        });
    }

    private Listing listing(final ReplicaEntry entry) {
        return mListings.getOrDefault(entry.upstream(), Map.of()).get(Start.of(entry));
    }

    private Listing put(final ReplicaEntry entry, final long readySinceNanos) {
        final Listing listing = new Listing(Start.of(entry), readySinceNanos);
        mListings
                .computeIfAbsent(entry.upstream(), name -> new HashMap<>())
                .put(Start.of(entry), listing);
        return listing;
    }

    private static boolean hasSeveralVersions(final List<Listing> listings) {
        return listings.stream().map(listing -> listing.mVersion).distinct().count() > 1;
    }

    private static Optional<String> onlyVersion(final List<Listing> listings) {
        return listings.isEmpty() || hasSeveralVersions(listings)
                ? Optional.empty()
                : Optional.of(listings.get(0).mVersion);
    }

    private static Comparator<Listing> byRank(final long stream) {
        return Comparator.comparingLong(
                listing -> HASHER.hashLongLongToLong(stream, listing.mIdHash));
    }
}
