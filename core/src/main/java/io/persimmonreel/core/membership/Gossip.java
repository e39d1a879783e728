package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.MemberGossip;
import io.persimmonreel.core.peer.PeerMessage.MemberNews;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Queues membership changes and builds the gossip messages that spread them.
 *
 * <p>Each change is sent once to all heartbeat peers, which pass it on if it is new to them. As
 * lost messages are not sent again, the whole member table goes to one random heartbeat peer every
 * {@link #FULL_SYNC_INTERVAL_NANOS}.
 */
final class Gossip {
    private static final long FULL_SYNC_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Random mRandom;
    private final Map<Long, MemberNews> mPending = new LinkedHashMap<>();
    private long mNextFullSyncNanos;

    /** Creates an empty queue; the first full sync comes after a random part of the interval. */
    Gossip(final Random random, final long nowNanos) {
        mRandom = random;
        mNextFullSyncNanos = nowNanos + Math.round(random.nextDouble() * FULL_SYNC_INTERVAL_NANOS);
    }

    /** Queues a change; it replaces an earlier one of the same member. */
    void add(final MemberNews news) {
        mPending.put(news.incarnation(), news);
    }

    void clear() {
        mPending.clear();
    }

    /** Returns the messages that are due for the heartbeat peers, and empties the queue. */
    List<AddressedMessage> drain(
            final Set<Incarnation> peers, final Collection<Member> members, final long nowNanos) {
        final List<AddressedMessage> messages = new ArrayList<>();
        final List<Incarnation> sorted = peers.stream().sorted().toList();
        if (!mPending.isEmpty()) {
            final MemberGossip gossip = new MemberGossip(List.copyOf(mPending.values()));
            sorted.forEach(peer -> messages.add(new AddressedMessage(peer, gossip)));
            mPending.clear();
        }
        if (nowNanos - mNextFullSyncNanos >= 0 && !sorted.isEmpty()) {
            mNextFullSyncNanos = nowNanos + FULL_SYNC_INTERVAL_NANOS;
            final List<MemberNews> table = members.stream().map(Member::news).toList();
            final Incarnation peer = sorted.get(mRandom.nextInt(sorted.size()));
            messages.add(new AddressedMessage(peer, new MemberGossip(table)));
        }
        return messages;
    }
}
