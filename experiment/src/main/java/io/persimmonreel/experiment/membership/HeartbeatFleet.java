package io.persimmonreel.experiment.membership;

import io.persimmonreel.core.membership.AddressedMessage;
import io.persimmonreel.core.membership.FailureDetectorTimes;
import io.persimmonreel.core.membership.ListedHost;
import io.persimmonreel.core.membership.MemberState;
import io.persimmonreel.core.membership.Membership;
import io.persimmonreel.core.membership.MembershipEvent;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.Heartbeat;
import io.persimmonreel.core.peer.PeerMessage.MemberGossip;
import io.persimmonreel.experiment.virtual.EventQueue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs the membership components of a whole fleet in virtual time, over a network that delays and
 * loses messages.
 */
final class HeartbeatFleet {
    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MINIMUM_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final int DELAY_SPREAD_NANOS = 1_500_000;

    /** Size of a heartbeat without load in MessagePack, with the length field of its frame. */
    private static final int HEARTBEAT_BYTES = 112;

    /** Size of one entry of a gossip message in MessagePack. */
    private static final int GOSSIP_ENTRY_BYTES = 36;

    private static final int FRAME_BYTES = 8;

    private final EventQueue mQueue = new EventQueue();
    private final List<Membership> mMembers = new ArrayList<>();
    private final Set<Integer> mStoppedSlots = new HashSet<>();
    private final Random mRandom;
    private final double mLossShare;
    private final FailureDetectorTimes mTimes;
    private long mMessages;
    private long mBytes;
    private int mFalseSuspicions;
    private int mFalseDeaths;
    private final List<Long> mSuspectedAfterNanos = new ArrayList<>();
    private final List<Long> mDeadAfterNanos = new ArrayList<>();
    private long mStoppedAtNanos = -1L;

    HeartbeatFleet(
            final int size,
            final double lossShare,
            final FailureDetectorTimes times,
            final long seed) {
        mRandom = new Random(seed);
        mLossShare = lossShare;
        mTimes = times;
        final List<ListedHost> hosts = new ArrayList<>();
        for (int slot = 1; slot <= size; slot++) {
            hosts.add(new ListedHost(slot, "zone", false));
        }
        for (int slot = 1; slot <= size; slot++) {
            addMember(slot, hosts);
        }
        for (int slot = 1; slot <= size; slot++) {
            for (int other = 1; other <= size; other++) {
                if (other != slot) {
                    mMembers.get(slot - 1).onConnected(new Incarnation(other), other, "zone");
                }
            }
            start(slot);
        }
    }

    private void addMember(final int slot, final List<ListedHost> hosts) {
        final Membership membership =
                new Membership(
                        new Incarnation(slot),
                        slot,
                        "zone",
                        mQueue.timeSource(0L),
                        new Random(mRandom.nextLong()),
                        mTimes);
        membership.onHosts(hosts);
        membership.subscribe(this::onEvent);
        mMembers.add(membership);
    }

    private void onEvent(final MembershipEvent event) {
        final boolean stopped = mStoppedSlots.contains(event.slot());
        if (event.to() == MemberState.SUSPECT) {
            if (stopped) {
                mSuspectedAfterNanos.add(mQueue.nowNanos() - mStoppedAtNanos);
            } else {
                mFalseSuspicions++;
            }
        } else if (event.to() == MemberState.DEAD) {
            if (stopped) {
                mDeadAfterNanos.add(mQueue.nowNanos() - mStoppedAtNanos);
            } else {
                mFalseDeaths++;
            }
        }
    }

    private void start(final int slot) {
        mQueue.scheduleAfter(
                (long) (mRandom.nextDouble() * TICK_INTERVAL_NANOS), () -> onTick(slot));
        final long phase = (long) (mRandom.nextDouble() * mTimes.heartbeatIntervalNanos());
        mQueue.scheduleAfter(phase, () -> sendHeartbeats(slot));
    }

    private void onTick(final int slot) {
        if (mStoppedSlots.contains(slot)) {
            return;
        }
        final Membership member = mMembers.get(slot - 1);
        member.onTimer(mQueue.nowNanos());
        for (final AddressedMessage addressed : member.gossip(mQueue.nowNanos())) {
            send(slot, addressed.to(), addressed.message());
        }
        mQueue.scheduleAfter(TICK_INTERVAL_NANOS, () -> onTick(slot));
    }

    private void sendHeartbeats(final int slot) {
        if (mStoppedSlots.contains(slot)) {
            return;
        }
        final Membership member = mMembers.get(slot - 1);
        final Heartbeat heartbeat = member.heartbeat(1L, "", List.of(), List.of());
        member.peers().stream().sorted().forEach(peer -> send(slot, peer, heartbeat));
        mQueue.scheduleAfter(mTimes.heartbeatIntervalNanos(), () -> sendHeartbeats(slot));
    }

    private void send(final int from, final Incarnation to, final PeerMessage message) {
        mMessages++;
        mBytes += bytesOf(message);
        if (mRandom.nextDouble() < mLossShare) {
            return;
        }
        final int slot = (int) to.id();
        final long delay = MINIMUM_DELAY_NANOS + mRandom.nextInt(DELAY_SPREAD_NANOS);
        mQueue.scheduleAfter(
                delay,
                () -> {
                    if (!mStoppedSlots.contains(slot)) {
                        mMembers.get(slot - 1).onMessage(new Incarnation(from), message);
                    }
                });
    }

    private static int bytesOf(final PeerMessage message) {
        return message instanceof MemberGossip gossip
                ? FRAME_BYTES + GOSSIP_ENTRY_BYTES * gossip.members().size()
                : HEARTBEAT_BYTES;
    }

    void runFor(final long nanos) {
        mQueue.runUntil(mQueue.nowNanos() + nanos);
    }

    /** Stops one member at a random time within its heartbeat interval. */
    void stop(final int slot) {
        runFor((long) (mRandom.nextDouble() * mTimes.heartbeatIntervalNanos()));
        mStoppedAtNanos = mQueue.nowNanos();
        mStoppedSlots.add(slot);
    }

    void resetCounts() {
        mMessages = 0L;
        mBytes = 0L;
        mFalseSuspicions = 0;
        mFalseDeaths = 0;
    }

    long messages() {
        return mMessages;
    }

    long bytes() {
        return mBytes;
    }

    int falseSuspicions() {
        return mFalseSuspicions;
    }

    int falseDeaths() {
        return mFalseDeaths;
    }

    /** Returns the times from the stop until each other member suspected the stopped one. */
    List<Long> suspectedAfterNanos() {
        return mSuspectedAfterNanos;
    }

    /** Returns the times from the stop until each other member declared the stopped one dead. */
    List<Long> deadAfterNanos() {
        return mDeadAfterNanos;
    }
}
