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

/** Runs the membership of a whole fleet over a network that loses messages. */
final class HeartbeatFleet {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MINIMUM_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final int DELAY_SPREAD_NANOS = 1_500_000;

    /** Size of a heartbeat without load as MessagePack, frame length included. */
    private static final int HEARTBEAT_BYTES = 112;

    /** Size of one entry of gossip as MessagePack. */
    private static final int NEWS_BYTES = 36;

    private static final int FRAME_BYTES = 8;

    private final EventQueue mQueue = new EventQueue();
    private final List<Membership> mMembers = new ArrayList<>();
    private final Set<Integer> mStopped = new HashSet<>();
    private final Random mRandom;
    private final double mLoss;
    private final FailureDetectorTimes mTimes;
    private long mMessages;
    private long mBytes;
    private int mSuspicions;
    private int mFalseDeaths;
    private final List<Long> mSuspectedNanos = new ArrayList<>();
    private final List<Long> mDeadNanos = new ArrayList<>();
    private long mStopNanos = -1L;

    HeartbeatFleet(
            final int size, final double loss, final FailureDetectorTimes times, final long seed) {
        mRandom = new Random(seed);
        mLoss = loss;
        mTimes = times;
        final List<ListedHost> hosts = new ArrayList<>();
        for (int slot = 1; slot <= size; slot++) {
            hosts.add(new ListedHost(slot, "zone", false));
        }
        for (int slot = 1; slot <= size; slot++) {
            add(slot, hosts);
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

    private void add(final int slot, final List<ListedHost> hosts) {
        final Membership membership =
                new Membership(
                        new Incarnation(slot),
                        slot,
                        "zone",
                        mQueue.clock(0L),
                        new Random(mRandom.nextLong()),
                        mTimes);
        membership.onHosts(hosts);
        membership.subscribe(this::onEvent);
        mMembers.add(membership);
    }

    private void onEvent(final MembershipEvent event) {
        final boolean stopped = mStopped.contains(event.slot());
        if (event.to() == MemberState.SUSPECT) {
            if (stopped) {
                mSuspectedNanos.add(mQueue.nowNanos() - mStopNanos);
            } else {
                mSuspicions++;
            }
        } else if (event.to() == MemberState.DEAD) {
            if (stopped) {
                mDeadNanos.add(mQueue.nowNanos() - mStopNanos);
            } else {
                mFalseDeaths++;
            }
        }
    }

    private void start(final int slot) {
        mQueue.after((long) (mRandom.nextDouble() * TICK_NANOS), () -> tick(slot));
        final long phase = (long) (mRandom.nextDouble() * mTimes.heartbeatNanos());
        mQueue.after(phase, () -> beat(slot));
    }

    private void tick(final int slot) {
        if (mStopped.contains(slot)) {
            return;
        }
        final Membership member = mMembers.get(slot - 1);
        member.onTimer(mQueue.nowNanos());
        for (final AddressedMessage addressed : member.gossip(mQueue.nowNanos())) {
            send(slot, addressed.to(), addressed.message());
        }
        mQueue.after(TICK_NANOS, () -> tick(slot));
    }

    private void beat(final int slot) {
        if (mStopped.contains(slot)) {
            return;
        }
        final Membership member = mMembers.get(slot - 1);
        final Heartbeat heartbeat = member.heartbeat(1L, "", List.of(), List.of());
        member.peers().stream().sorted().forEach(peer -> send(slot, peer, heartbeat));
        mQueue.after(mTimes.heartbeatNanos(), () -> beat(slot));
    }

    private void send(final int from, final Incarnation to, final PeerMessage message) {
        mMessages++;
        mBytes += bytesOf(message);
        if (mRandom.nextDouble() < mLoss) {
            return;
        }
        final int slot = (int) to.id();
        final long delay = MINIMUM_DELAY_NANOS + mRandom.nextInt(DELAY_SPREAD_NANOS);
        mQueue.after(
                delay,
                () -> {
                    if (!mStopped.contains(slot)) {
                        mMembers.get(slot - 1).onMessage(new Incarnation(from), message);
                    }
                });
    }

    private static int bytesOf(final PeerMessage message) {
        return message instanceof MemberGossip gossip
                ? FRAME_BYTES + NEWS_BYTES * gossip.members().size()
                : HEARTBEAT_BYTES;
    }

    void run(final long nanos) {
        mQueue.runUntil(mQueue.nowNanos() + nanos);
    }

    /** Stops one member at a random moment of its heartbeat interval. */
    void stop(final int slot) {
        run((long) (mRandom.nextDouble() * mTimes.heartbeatNanos()));
        mStopNanos = mQueue.nowNanos();
        mStopped.add(slot);
    }

    void resetCounts() {
        mMessages = 0L;
        mBytes = 0L;
        mSuspicions = 0;
        mFalseDeaths = 0;
    }

    long messages() {
        return mMessages;
    }

    long bytes() {
        return mBytes;
    }

    int suspicions() {
        return mSuspicions;
    }

    int falseDeaths() {
        return mFalseDeaths;
    }

    /** Times from the stop to each observer's suspicion, in nanoseconds. */
    List<Long> suspectedNanos() {
        return mSuspectedNanos;
    }

    /** Times from the stop to each observer's verdict, in nanoseconds. */
    List<Long> deadNanos() {
        return mDeadNanos;
    }
}
