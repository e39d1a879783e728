package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.MemberNews;
import io.persimmonreel.core.peer.PeerMessage.NewsState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Holds all known members and their states. Changes are made one at a time under a lock; most reads
 * use an immutable copy instead.
 */
final class MemberTable {
    /** The timer ticks every 100 ms; a longer gap than this shows that the process was paused. */
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1100);

    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Dead members are kept this long, so that late gossip does not bring them back to life. */
    private static final long TOMBSTONE_LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Holds an immutable copy of what is read without a lock. */
    private record View(
            Map<Incarnation, Integer> live,
            Set<Incarnation> leaving,
            Map<Integer, MemberState> states,
            int unconfirmed) {}

    private final Incarnation mSelf;
    private final int mSlot;
    private final String mZone;
    private final FailureDetectorTimes mTimes;
    private final Gossip mGossip;
    private final Random mRandom;
    private final Map<Incarnation, Member> mMembers = new HashMap<>();
    private final Map<Integer, Incarnation> mSlotHolders = new HashMap<>();
    private final Map<Integer, ListedHost> mListedHosts = new HashMap<>();
    private final List<MembershipEvent> mEvents = new ArrayList<>();
    private Set<Incarnation> mHeartbeatPeers = Set.of();
    private long mLastTickNanos;
    private volatile View mView;

    MemberTable(
            final Incarnation self,
            final int slot,
            final String zone,
            final FailureDetectorTimes times,
            final Random random,
            final long nowNanos) {
        mSelf = self;
        mSlot = slot;
        mZone = zone;
        mTimes = times;
        mRandom = random;
        mGossip = new Gossip(random, nowNanos);
        mLastTickNanos = nowNanos;
        rebuild(nowNanos);
    }

    /** Replaces the platform's host list. */
    synchronized List<MembershipEvent> updateHosts(final Collection<ListedHost> hosts) {
        mListedHosts.clear();
        hosts.forEach(host -> mListedHosts.put(host.slot(), host));
        rebuild(mLastTickNanos);
        return drainEvents();
    }

    /** Notes that a member was heard; {@code sequence} is 0 if not by a heartbeat. */
    synchronized List<MembershipEvent> heard(
            final Incarnation from,
            final int slot,
            final String zone,
            final long sequence,
            final boolean leaving,
            final long nowNanos) {
        if (from.equals(mSelf)) {
            return List.of();
        }
        final Member known = mMembers.get(from);
        if (known == null) {
            join(new Member(from, slot, zone, 0L, nowNanos, leaving, MemberState.NEW), nowNanos);
        }
        final Member before = mMembers.get(from);
        final Member after = before.heard(sequence, leaving, nowNanos);
        mMembers.put(from, after);
        changed(before, after, "heard", nowNanos);
        return drainEvents();
    }

    /** Adds a member; the incarnation that held its slot until now is dead. */
    private void join(final Member member, final long nowNanos) {
        final Incarnation replaced = mSlotHolders.put(member.slot(), member.incarnation());
        mMembers.put(member.incarnation(), member);
        mEvents.add(event(member, null, member.visibleState(), "joined"));
        final Member before = replaced == null ? null : mMembers.get(replaced);
        if (before != null && before.isLive()) {
            final Member after = before.withState(MemberState.DEAD);
            mMembers.put(replaced, after);
            changed(before, after, "replaced by " + member.incarnation(), nowNanos);
        }
        mGossip.add(member.news());
        rebuild(nowNanos);
    }

    /** Marks a member as leaving. */
    synchronized List<MembershipEvent> leaving(final Incarnation from, final long nowNanos) {
        final Member before = mMembers.get(from);
        if (before == null) {
            return List.of();
        }
        final Member after = before.heard(before.sequence(), true, nowNanos);
        mMembers.put(from, after);
        changed(before, after, "leaving", nowNanos);
        return drainEvents();
    }

    /** Applies gossip from another daemon; false reports about this daemon are corrected. */
    synchronized List<MembershipEvent> receiveGossip(
            final List<MemberNews> allNews,
            final long ownSequence,
            final boolean ownLeaving,
            final long nowNanos) {
        for (final MemberNews news : allNews) {
            final Incarnation id = new Incarnation(news.incarnation());
            final Member known = mMembers.get(id);
            if (id.equals(mSelf)) {
                if (news.state() == NewsState.SUSPECT || news.state() == NewsState.DEAD) {
                    final NewsState state = ownLeaving ? NewsState.LEAVING : NewsState.ALIVE;
                    mGossip.add(new MemberNews(mSelf.id(), mSlot, mZone, ownSequence, state));
                }
            } else if (known != null) {
                updateKnown(known, news, nowNanos);
            } else if (news.state() == NewsState.ALIVE || news.state() == NewsState.LEAVING) {
                addUnknown(id, news, nowNanos);
            }
        }
        return drainEvents();
    }

    /** Adds a live member that is not in the table yet. */
    private void addUnknown(final Incarnation id, final MemberNews news, final long nowNanos) {
        final Member member =
                new Member(
                        id,
                        news.slot(),
                        news.zone(),
                        news.sequence(),
                        nowNanos,
                        news.state() == NewsState.LEAVING,
                        MemberState.ALIVE);
        final Incarnation holderId = mSlotHolders.get(news.slot());
        final Member holder = holderId == null ? null : mMembers.get(holderId);
        if (holder != null && mHeartbeatPeers.contains(holderId) && isHeard(holder, nowNanos)) {
            // Late gossip about an earlier incarnation must not replace one that is heard directly.
            mMembers.put(id, member);
            rebuild(nowNanos);
        } else {
            join(member, nowNanos);
        }
    }

    /** Applies gossip about a member that is in the table. */
    private void updateKnown(final Member known, final MemberNews news, final long nowNanos) {
        final boolean alive = news.state() == NewsState.ALIVE || news.state() == NewsState.LEAVING;
        if (alive && news.sequence() > known.sequence()) {
            final boolean leaving = news.state() == NewsState.LEAVING;
            final Member after = known.heard(news.sequence(), leaving, nowNanos);
            mMembers.put(known.incarnation(), after);
            changed(known, after, "reported alive", nowNanos);
        } else if (!alive && known.isLive()) {
            if (news.sequence() < known.sequence()) {
                // The sender missed heartbeats that arrived here, so correct its state.
                mGossip.add(known.news());
                return;
            }
            final MemberState state =
                    news.state() == NewsState.DEAD ? MemberState.DEAD : MemberState.SUSPECT;
            final boolean heartbeatPeer = mHeartbeatPeers.contains(known.incarnation());
            if (state != known.state() && !(heartbeatPeer && isHeard(known, nowNanos))) {
                final Member after = known.withState(state);
                mMembers.put(known.incarnation(), after);
                changed(known, after, "reported silent", nowNanos);
            }
        }
    }

    private boolean isHeard(final Member member, final long nowNanos) {
        return nowNanos - member.heardNanos() <= mTimes.suspectAfterNanos();
    }

    /** Applies the time limits to heartbeat peers and forgets members dead for long. */
    synchronized List<MembershipEvent> expire(final long nowNanos) {
        final long gap = nowNanos - mLastTickNanos;
        if (gap > PAUSE_THRESHOLD_NANOS) {
            mMembers.replaceAll(
                    (id, member) -> member.afterPause(gap - TICK_INTERVAL_NANOS, nowNanos));
        }
        mLastTickNanos = nowNanos;
        for (final Incarnation id : List.copyOf(mMembers.keySet())) {
            final Member member = mMembers.get(id);
            final long silentNanos = nowNanos - member.heardNanos();
            if (member.state() == MemberState.DEAD) {
                if (silentNanos > TOMBSTONE_LIFETIME_NANOS && !isListedLive(member)) {
                    mMembers.remove(id);
                    mSlotHolders.remove(member.slot(), id);
                }
            } else if (mHeartbeatPeers.contains(id)) {
                checkSilence(member, silentNanos, nowNanos);
            }
        }
        return drainEvents();
    }

    /** Suspects a heartbeat peer, or declares it dead, if it was silent beyond the time limits. */
    private void checkSilence(final Member member, final long silentNanos, final long nowNanos) {
        final MemberState state;
        if (silentNanos > mTimes.deadAfterNanos()) {
            state = MemberState.DEAD;
        } else if (silentNanos > mTimes.suspectAfterNanos()) {
            state = MemberState.SUSPECT;
        } else {
            return;
        }
        if (state != member.state()) {
            final Member after = member.withState(state);
            mMembers.put(member.incarnation(), after);
            final long millis = TimeUnit.NANOSECONDS.toMillis(silentNanos);
            changed(member, after, "no heartbeat for " + millis + " ms", nowNanos);
        }
    }

    /** Reports and spreads a change, unless what others see of the member stays the same. */
    private void changed(
            final Member before, final Member after, final String reason, final long nowNanos) {
        if (before.visibleState() == after.visibleState() && before.leaving() == after.leaving()) {
            return;
        }
        mEvents.add(event(after, before.visibleState(), after.visibleState(), reason));
        mGossip.add(after.news());
        rebuild(nowNanos);
    }

    private static MembershipEvent event(
            final Member member,
            final MemberState from,
            final MemberState to,
            final String reason) {
        return new MembershipEvent(member.incarnation(), member.slot(), from, to, reason);
    }

    private List<MembershipEvent> drainEvents() {
        final List<MembershipEvent> events = List.copyOf(mEvents);
        mEvents.clear();
        return events;
    }

    private boolean isListedLive(final Member member) {
        final ListedHost host = mListedHosts.get(member.slot());
        return host != null && !host.leaving();
    }

    /** Tells whether a member is the latest incarnation in its slot. */
    private boolean isCurrent(final Member member) {
        return member.incarnation().equals(mSlotHolders.get(member.slot()));
    }

    /** Computes the heartbeat peers and the copy for readers anew. */
    private void rebuild(final long nowNanos) {
        final List<Member> candidates = mMembers.values().stream().filter(Member::isLive).toList();
        final Set<Incarnation> peers = PeerRing.peersOf(mSelf, mSlot, candidates);
        for (final Incarnation id : peers) {
            // A new heartbeat peer sends its first heartbeats from now on, so count its silence
            // from now.
            if (!mHeartbeatPeers.contains(id)
                    && candidates.size() > PeerRing.MAXIMUM_MESH_MEMBERS) {
                mMembers.computeIfPresent(id, (key, member) -> member.heardAt(nowNanos));
            }
        }
        mHeartbeatPeers = peers;
        final Map<Incarnation, Integer> live = new HashMap<>();
        final Map<Integer, MemberState> states = new HashMap<>();
        final Set<Incarnation> leaving = new HashSet<>();
        live.put(mSelf, mSlot);
        mListedHosts.keySet().forEach(slot -> states.put(slot, MemberState.NEW));
        int unconfirmed = 0;
        for (final Member member : mMembers.values()) {
            if (member.isLive()) {
                live.put(member.incarnation(), member.slot());
            } else if (isCurrent(member) && isListedLive(member)) {
                unconfirmed++;
            }
            if (isCurrent(member)) {
                states.put(member.slot(), member.visibleState());
            }
            if (member.leaving() || isListedLeaving(member.slot())) {
                leaving.add(member.incarnation());
            }
        }
        states.put(mSlot, MemberState.ALIVE);
        if (isListedLeaving(mSlot)) {
            leaving.add(mSelf);
        }
        mView = new View(Map.copyOf(live), Set.copyOf(leaving), Map.copyOf(states), unconfirmed);
    }

    private boolean isListedLeaving(final int slot) {
        final ListedHost host = mListedHosts.get(slot);
        return host != null && host.leaving();
    }

    /**
     * Returns the members to send heartbeats to: the heartbeat peers and, as a partition may have
     * healed, dead members that the host list shows as live. In a large fleet only one of these,
     * chosen at random.
     */
    synchronized Set<Incarnation> peers() {
        final Set<Incarnation> peers = new HashSet<>(mHeartbeatPeers);
        final List<Incarnation> dead =
                mMembers.values().stream()
                        .filter(m -> !m.isLive() && isCurrent(m) && isListedLive(m))
                        .map(Member::incarnation)
                        .sorted()
                        .toList();
        if (dead.size() + peers.size() <= PeerRing.MAXIMUM_MESH_MEMBERS) {
            peers.addAll(dead);
        } else {
            peers.add(dead.get(mRandom.nextInt(dead.size())));
        }
        return peers;
    }

    synchronized List<AddressedMessage> drainGossip(final long nowNanos) {
        if (mMembers.values().stream().filter(Member::isLive).count()
                <= PeerRing.MAXIMUM_MESH_MEMBERS) {
            mGossip.clear();
            return List.of();
        }
        return mGossip.drain(mHeartbeatPeers, mMembers.values(), nowNanos);
    }

    Map<Incarnation, Integer> live() {
        return mView.live();
    }

    int unconfirmed() {
        return mView.unconfirmed();
    }

    boolean isLeaving(final Incarnation member) {
        return mView.leaving().contains(member);
    }

    MemberState stateOf(final int slot) {
        return mView.states().getOrDefault(slot, MemberState.DEAD);
    }
}
