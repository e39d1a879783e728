package io.persimmonreel.core.quota;

import io.persimmonreel.core.peer.PeerMessage.Standing;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which share of a limit of the whole fleet belongs to this daemon by itself, so that the
 * shares of all daemons that run never add up to more than the limit.
 *
 * <p>The share of a member is one part in as many as daemons are known. A silent daemon may be cut
 * off rather than stopped, so it is counted for {@link #MAXIMUM_PARTITION_NANOS}. A daemon that has
 * just started does not know the fleet; it becomes a member when a member counts it. If all daemons
 * have just started, those that hear the majority of the seeds divide {@link #STARTED_SHARE} of the
 * limit. At most one part of a partitioned fleet can hear that majority, and members that do not
 * hear it leave that much to the others. Not thread safe.
 */
public final class FleetShare {
    /** The longest time for which a part of the fleet may be cut off, in nanoseconds. */
    static final long MAXIMUM_PARTITION_NANOS = TimeUnit.SECONDS.toNanos(30);

    /**
     * The time within which daemons that start together find each other. It is longer than {@link
     * #SEED_SILENCE_NANOS}, so that members know by then that they don't hear the seeds.
     */
    private static final long DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** The time after which a seed is considered not heard, in nanoseconds. */
    private static final long SEED_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** The time within which all connected daemons learn of a change, in nanoseconds. */
    private static final long SPREAD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The difference of the clocks' progress that shows a suspension of the host. */
    private static final long SUSPENSION_MILLIS = 250;

    /**
     * The part of the limit that daemons divide which have just started and hear the majority of
     * the seeds. All others together leave it to them.
     */
    private static final double STARTED_SHARE = 0.75;

    /** The most daemons that may know nothing of the fleet and keep within the rest. */
    private static final int MAXIMUM_DAEMONS = 128;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Member> mMembers = new HashMap<>();
    private final Map<Integer, Long> mReportedSizes = new HashMap<>();
    private final Map<String, Long> mSeedHeardNanos = new HashMap<>();
    private final Map<String, Long> mSeedReportedNanos = new HashMap<>();
    private final Set<String> mSeeds = new HashSet<>();
    private final boolean mIsFirstStart;
    private String mSelf = "";
    private Standing mStanding = Standing.UNKNOWN;
    private long mStandingNanos;
    private long mPeerStandingNanos = NEVER;
    private long mWholeSinceNanos = NEVER;
    private long mSeedsLostNanos = NEVER;
    private long mClockNanos;
    private long mClockMillis;

    /** Another daemon. */
    private static final class Member {
        private final long mSinceNanos;
        private long mHeardNanos;
        private boolean mIsCounted;

        Member(final long sinceNanos) {
            mSinceNanos = sinceNanos;
            mHeardNanos = sinceNanos;
        }
    }

    /**
     * Creates the share of a daemon that starts.
     *
     * @param firstStart whether the whole fleet starts for the first time, so that no daemon runs
     *     that this one can't hear
     * @param nowNanos the current monotonic time in nanoseconds
     * @param wallMillis the current time of day in milliseconds
     */
    public FleetShare(final boolean firstStart, final long nowNanos, final long wallMillis) {
        mIsFirstStart = firstStart;
        mStandingNanos = nowNanos;
        mClockNanos = nowNanos;
        mClockMillis = wallMillis;
    }

    /**
     * Sets the seeds, the daemons that a daemon contacts when it starts.
     *
     * @param self this daemon
     * @param seeds all seeds
     */
    public void onSeeds(final String self, final Collection<String> seeds) {
        mSelf = self;
        mSeeds.clear();
        mSeeds.addAll(seeds);
    }

    /**
     * Records that a message of a daemon arrived.
     *
     * @param member the daemon
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onHeard(final String member, final long nowNanos) {
        onListed(member, nowNanos);
        if (mSeeds.contains(member)) {
            mSeedHeardNanos.put(member, nowNanos);
        }
    }

    /**
     * Records that a peer hears from a daemon.
     *
     * @param member the daemon
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onListed(final String member, final long nowNanos) {
        mMembers.computeIfAbsent(member, name -> new Member(nowNanos)).mHeardNanos = nowNanos;
    }

    /**
     * Applies the state of a peer.
     *
     * @param standing what the peer knows of the fleet
     * @param fleetSize the number of daemons that the peer counts
     * @param counted whether all daemons that the peer hears from count this one
     * @param seeds the seeds that the peer hears from
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onPeerState(
            final Standing standing,
            final int fleetSize,
            final boolean counted,
            final Collection<String> seeds,
            final long nowNanos) {
        seeds.forEach(seed -> mSeedReportedNanos.put(seed, nowNanos));
        mSeedReportedNanos.keySet().retainAll(mSeeds);
        if (standing != Standing.UNKNOWN) {
            mReportedSizes.put(fleetSize, nowNanos);
            mPeerStandingNanos = nowNanos;
            if (counted && standing.compareTo(mStanding) > 0) {
                setStanding(standing, nowNanos);
            }
        }
    }

    /**
     * Adds the daemons that a peer counts.
     *
     * @param members the daemons
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onPeerMembers(final Collection<String> members, final long nowNanos) {
        for (final String name : members) {
            if (!name.equals(mSelf)) {
                mMembers.computeIfAbsent(name, key -> new Member(nowNanos)).mIsCounted = true;
            }
        }
    }

    /**
     * Checks whether the host was suspended, which the monotonic clock does not count.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @param wallMillis the current time of day in milliseconds
     * @return true if it was since the last call, so that the ages of all that is known are wrong;
     *     this daemon then knows as little as one that has just started
     */
    public boolean checkSuspended(final long nowNanos, final long wallMillis) {
        final long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mClockNanos);
        final boolean wasSuspended =
                wallMillis - mClockMillis - monotonicMillis > SUSPENSION_MILLIS;
        mClockNanos = nowNanos;
        mClockMillis = wallMillis;
        if (wasSuspended) {
            setStanding(Standing.UNKNOWN, nowNanos);
            mPeerStandingNanos = NEVER;
            mSeedHeardNanos.clear();
            mSeedReportedNanos.clear();
        }
        return wasSuspended;
    }

    /**
     * Updates the share. To be called several times a second.
     *
     * @param reachable the number of daemons heard from, this one included
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final int reachable, final long nowNanos) {
        mMembers.values().removeIf(m -> nowNanos - m.mHeardNanos > MAXIMUM_PARTITION_NANOS);
        mReportedSizes.values().removeIf(heard -> nowNanos - heard > MAXIMUM_PARTITION_NANOS);
        updateCounted(reachable, nowNanos);
        final boolean hearsSeeds = hearsMajorityOfSeeds(nowNanos);
        if (!hearsSeeds) {
            mSeedsLostNanos = nowNanos;
        }
        if (mStanding == Standing.MEMBER) {
            return;
        }
        final long nanos = nowNanos - mStandingNanos;
        if (mSeeds.stream().allMatch(mSelf::equals) || nanos >= MAXIMUM_PARTITION_NANOS) {
            setStanding(Standing.MEMBER, nowNanos);
        } else if (mStanding == Standing.UNKNOWN
                && nanos >= DISCOVERY_NANOS
                && nowNanos - mPeerStandingNanos >= DISCOVERY_NANOS
                && hearsSeeds) {
            mMembers.values().forEach(member -> member.mIsCounted = true);
            setStanding(mIsFirstStart ? Standing.MEMBER : Standing.PROVISIONAL, nowNanos);
        }
    }

    /**
     * Returns the share of this daemon by itself.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a number from 0 to 1
     */
    public double share(final long nowNanos) {
        if (mStanding == Standing.UNKNOWN) {
            return (1 - STARTED_SHARE) / Math.max(MAXIMUM_DAEMONS, size());
        }
        return groupShare(nowNanos) / size();
    }

    /**
     * Returns the part of the limit that this daemon and all others with the same knowledge of the
     * fleet divide. The parts of all such groups never add up to more than 1.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a number from 0 to 1, 0 if this daemon does not know the fleet
     */
    public double groupShare(final long nowNanos) {
        if (mStanding == Standing.UNKNOWN) {
            return 0;
        }
        if (mStanding == Standing.PROVISIONAL) {
            return STARTED_SHARE;
        }
        // The seeds count as heard only some time after they are heard again, since daemons that
        // started meanwhile may not know all others yet.
        final boolean hearsSeeds = nowNanos - mSeedsLostNanos > DISCOVERY_NANOS;
        return hearsSeeds ? 1 : 1 - STARTED_SHARE;
    }

    /**
     * Returns the share of this daemon and those that it hears from.
     *
     * @param reachable the number of daemons heard from, this one included
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a number from 0 to 1
     */
    public double reachableShare(final int reachable, final long nowNanos) {
        return Math.min(1.0, reachable * share(nowNanos));
    }

    /**
     * Returns the number of daemons that share the limit.
     *
     * @return the number, at least 1
     */
    public int size() {
        final int reported = mReportedSizes.keySet().stream().max(Integer::compare).orElse(0);
        return Math.max(knownSize(), reported);
    }

    /**
     * Returns what this daemon knows of the fleet, to be told to peers.
     *
     * @return the standing
     */
    public Standing standing() {
        return mStanding;
    }

    /**
     * Returns the number of daemons that this one counts itself, to be told to peers.
     *
     * @return the number, at least 1
     */
    public int knownSize() {
        return 1 + mMembers.size();
    }

    /**
     * Returns the other daemons that this one knows, counted or not.
     *
     * @return their names
     */
    public Set<String> members() {
        return Set.copyOf(mMembers.keySet());
    }

    /**
     * Returns whether a daemon is counted by all daemons that this one hears from.
     *
     * @param member the daemon
     * @return false also if this daemon does not know the fleet
     */
    public boolean counts(final String member) {
        final Member known = mMembers.get(member);
        return mStanding != Standing.UNKNOWN && known != null && known.mIsCounted;
    }

    /**
     * Returns the daemons that all daemons count, to be told to a peer.
     *
     * @return the daemons, empty if this daemon does not know the fleet
     */
    public List<String> countedMembers() {
        return mMembers.keySet().stream().filter(this::counts).sorted().toList();
    }

    /**
     * Returns the seeds that are heard, to be told to a peer.
     *
     * @param includesReported whether those that only a peer hears from are included
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the seeds
     */
    public List<String> heardSeeds(final boolean includesReported, final long nowNanos) {
        return mSeeds.stream()
                .filter(
                        seed ->
                                seed.equals(mSelf)
                                        || isRecent(mSeedHeardNanos.get(seed), nowNanos)
                                        || includesReported
                                                && isRecent(mSeedReportedNanos.get(seed), nowNanos))
                .toList();
    }

    private void setStanding(final Standing standing, final long nowNanos) {
        mStanding = standing;
        mStandingNanos = nowNanos;
    }

    /** Marks the members that were known for long enough while all were heard from. */
    private void updateCounted(final int reachable, final long nowNanos) {
        if (reachable < knownSize()) {
            mWholeSinceNanos = NEVER;
            return;
        }
        if (mWholeSinceNanos == NEVER) {
            mWholeSinceNanos = nowNanos;
        }
        for (final Member member : mMembers.values()) {
            final long since = Math.max(member.mSinceNanos, mWholeSinceNanos);
            member.mIsCounted |= nowNanos - since >= SPREAD_NANOS;
        }
    }

    private boolean hearsMajorityOfSeeds(final long nowNanos) {
        return mSeeds.isEmpty() || 2 * heardSeeds(true, nowNanos).size() > mSeeds.size();
    }

    private static boolean isRecent(final Long heardNanos, final long nowNanos) {
        return heardNanos != null && nowNanos - heardNanos <= SEED_SILENCE_NANOS;
    }
}
