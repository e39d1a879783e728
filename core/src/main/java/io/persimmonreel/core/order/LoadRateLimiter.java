package io.persimmonreel.core.order;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.RendezvousHash;
import io.persimmonreel.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the rate of model loads over all members without messages between them. The wall clock is
 * divided into time slots that the members own in turn; the owner may start one load in its slot.
 *
 * <p>A load starts in the first quarter of its slot. Slots are long enough that loads in slots that
 * are {@code loadsPerMinute} apart start at least a minute apart, even if two clocks differ by the
 * declared skew. So members that agree on the membership start at most {@code loadsPerMinute} loads
 * in any minute. While members have v different views of the membership, the bound is v times as
 * high, since each view has its own owner of a slot. Instances are thread safe.
 */
final class LoadRateLimiter {
    /**
     * The wait after a change of members before a slot is used. Members learn of a change within a
     * few heartbeats or reads of the host list of each other, so by then no other member still uses
     * the slot by the old membership.
     */
    static final long SETTLE_NANOS = Duration.ofSeconds(10).toNanos();

    private static final String RENDEZVOUS_KEY = "weight store";
    private static final long MINUTE_MILLIS = 60_000;

    /** A load may start in this part of a slot: the first quarter. */
    private static final int START_WINDOW_DIVISOR = 4;

    private final Incarnation mSelf;
    private final TimeSource mTime;
    private MemberView mMemberView;
    private long mMembersChangedNanos;
    private long mLastUsedSlot = Long.MIN_VALUE;

    private record MemberView(Set<Incarnation> live, int rank, int slotsPerTurn) {}

    LoadRateLimiter(final Incarnation self, final TimeSource time) {
        mSelf = self;
        mTime = time;
        mMemberView = new MemberView(Set.of(self), 0, 1);
        // A daemon that keeps restarting must not start a load after each restart.
        mMembersChangedNanos = time.monotonicNanos();
    }

    /**
     * Sets the members that share the rate.
     *
     * @param live the live members, with or without this daemon
     * @param unconfirmedMembers the number of silent members whose slots stay unused, because they
     *     may start loads on the other side of a network partition
     */
    synchronized void updateMembers(
            final Collection<Incarnation> live, final int unconfirmedMembers) {
        final Set<Incarnation> members = new HashSet<>(live);
        members.add(mSelf);
        final int slotsPerTurn = members.size() + Math.max(0, unconfirmedMembers);
        if (members.equals(mMemberView.live()) && slotsPerTurn == mMemberView.slotsPerTurn()) {
            return;
        }
        final List<Incarnation> ranked =
                RendezvousHash.pick(RENDEZVOUS_KEY, members, members.size());
        mMemberView = new MemberView(Set.copyOf(members), ranked.indexOf(mSelf), slotsPerTurn);
        mMembersChangedNanos = mTime.monotonicNanos();
    }

    /**
     * Uses the current slot for one load if this daemon owns it and has not used it yet.
     *
     * @param loadsPerMinute the rate of the weight store
     * @param clockSkew the largest difference between any two clocks
     * @return true if this daemon may start one load now
     */
    synchronized boolean tryAcquire(final int loadsPerMinute, final Duration clockSkew) {
        final long slot = openSlot(slotMillis(loadsPerMinute, clockSkew));
        if (slot == Long.MIN_VALUE || slot == mLastUsedSlot) {
            return false;
        }
        mLastUsedSlot = slot;
        return true;
    }

    /** Returns the current slot if this daemon may use it now, else {@link Long#MIN_VALUE}. */
    private long openSlot(final long slotMillis) {
        final long wall = mTime.wallMillis();
        final long slot = Math.floorDiv(wall, slotMillis);
        final boolean open =
                Math.floorMod(slot, mMemberView.slotsPerTurn()) == mMemberView.rank()
                        && wall - slot * slotMillis < slotMillis / START_WINDOW_DIVISOR
                        && mTime.monotonicNanos() - mMembersChangedNanos >= SETTLE_NANOS;
        return open ? slot : Long.MIN_VALUE;
    }

    /**
     * Returns the length of a slot. Since loads start in the first quarter of a slot, {@code
     * loadsPerMinute} - 1/4 slots must cover a minute and the skew.
     */
    static long slotMillis(final int loadsPerMinute, final Duration clockSkew) {
        final long quarters = (long) loadsPerMinute * START_WINDOW_DIVISOR - 1;
        final long covered = (MINUTE_MILLIS + clockSkew.toMillis()) * START_WINDOW_DIVISOR;
        return (covered + quarters - 1) / quarters;
    }
}
