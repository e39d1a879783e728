package io.persimmonreel.core.ratelimit;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Divides the advertised rate limit of a replica among the daemons, without messages.
 *
 * <p>All daemons with the same view of members compute the same division: equal shares. If a limit
 * is low, only some of the daemons get a share, others for each replica, since every daemon with a
 * share may send one request at any time and these requests add up. A member that is silent keeps
 * its share until it is forgotten. Not thread safe.
 */
public final class RateShares {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    /**
     * The number of daemons with a share is bounded by a constant and by the requests that a
     * replica takes in this many seconds.
     */
    private static final double BURST_SECONDS = 2.0;

    private static final int MINIMUM_BURST = 3;

    private final long mSelf;
    private final long[] mOthers;
    private final int mSize;

    /** The ranks of this daemon by replica, computed on first use. */
    private final Map<Long, Integer> mRanks = new HashMap<>();

    private RateShares(final String self, final Set<String> others, final int size) {
        mSelf = HASHER.hashCharsToLong(self);
        mOthers = others.stream().mapToLong(HASHER::hashCharsToLong).toArray();
        mSize = size;
    }

    /**
     * Creates the shares of a daemon that is alone.
     *
     * @return shares of all limits as a whole
     */
    public static RateShares whole() {
        return new RateShares("", Set.of(), 1);
    }

    /**
     * Creates the shares of a daemon.
     *
     * @param self the daemon's name
     * @param others the names of the other known daemons
     * @param minimumSize the number of daemons to assume if fewer are known, at least 1
     * @return the shares
     */
    public static RateShares of(
            final String self, final Collection<String> others, final int minimumSize) {
        final Set<String> distinct = new TreeSet<>(others);
        distinct.remove(self);
        return new RateShares(self, distinct, Math.max(minimumSize, distinct.size() + 1));
    }

    /**
     * Returns this daemon's share of the limit of a replica.
     *
     * @param replicaHash the hash of the replica's id
     * @param perSecond the limit in requests per second
     * @return a fraction from 0 to 1
     */
    public double share(final long replicaHash, final double perSecond) {
        final double maximumSharing = Math.floor(MINIMUM_BURST + BURST_SECONDS * perSecond);
        if (mSize <= maximumSharing) {
            return 1.0 / mSize;
        }
        final int before = mRanks.computeIfAbsent(replicaHash, this::rank);
        return before < maximumSharing ? 1.0 / maximumSharing : 0;
    }

    /**
     * Returns this daemon's share of a limit that a given number of daemons divide. Daemons that
     * are assumed and not known by name count as if they came before this one, so that no more
     * daemons than that have a share while some know only a part of the fleet.
     *
     * @param replicaHash the hash of the replica's id
     * @param maximumSharing the most daemons with a share
     * @return a fraction from 0 to 1
     */
    public double shareAmong(final long replicaHash, final int maximumSharing) {
        if (mSize <= maximumSharing) {
            return 1.0 / mSize;
        }
        return position(replicaHash) < maximumSharing ? 1.0 / maximumSharing : 0;
    }

    /**
     * Returns how many daemons come before this one for a replica.
     *
     * @param replicaHash the hash of the replica's id
     * @return the known daemons with a higher hash and those that are assumed
     */
    public int position(final long replicaHash) {
        final int unknown = mSize - 1 - mOthers.length;
        return unknown + mRanks.computeIfAbsent(replicaHash, this::rank);
    }

    /** Returns the number of members that come before this daemon for a replica. */
    private int rank(final long replicaHash) {
        final long own = HASHER.hashLongLongToLong(replicaHash, mSelf);
        int before = 0;
        for (final long other : mOthers) {
            if (HASHER.hashLongLongToLong(replicaHash, other) > own) {
                before++;
            }
        }
        return before;
    }
}
