package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.Heartbeat;
import io.persimmonreel.core.peer.PeerMessage.Leaving;
import io.persimmonreel.core.peer.PeerMessage.MemberGossip;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.time.TimeSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tracks which daemons are members of the fleet and their states, from heartbeats, gossip and the
 * platform's host list.
 *
 * <p>This class is thread-safe. Changes are made one at a time; reads use a copy and never block.
 * Listeners are called without a lock held.
 */
public final class Membership {
    private final Incarnation mSelf;
    private final int mSlot;
    private final String mZone;
    private final TimeSource mTime;
    private final AtomicLong mSequence = new AtomicLong();
    private final AtomicBoolean mLeaving = new AtomicBoolean();
    private final MemberTable mTable;
    private final List<MembershipListener> mListeners = new CopyOnWriteArrayList<>();

    /**
     * Creates a membership with the standard time limits.
     *
     * @param self this daemon's incarnation
     * @param slot this daemon's slot
     * @param zone this daemon's availability zone
     * @param time the clocks
     * @param random chooses the receivers of gossip
     */
    public Membership(
            final Incarnation self,
            final int slot,
            final String zone,
            final TimeSource time,
            final Random random) {
        this(self, slot, zone, time, random, FailureDetectorTimes.STANDARD);
    }

    /**
     * Creates a membership.
     *
     * @param self this daemon's incarnation
     * @param slot this daemon's slot
     * @param zone this daemon's availability zone
     * @param time the clocks
     * @param random chooses the receivers of gossip
     * @param times the heartbeat interval and the time limits
     */
    public Membership(
            final Incarnation self,
            final int slot,
            final String zone,
            final TimeSource time,
            final Random random,
            final FailureDetectorTimes times) {
        mSelf = self;
        mSlot = slot;
        mZone = zone;
        mTime = time;
        mTable = new MemberTable(self, slot, zone, times, random, time.monotonicNanos());
    }

    /**
     * Adds a listener for changes of members' states.
     *
     * @param listener the listener
     */
    public void subscribe(final MembershipListener listener) {
        mListeners.add(listener);
    }

    /**
     * Replaces the platform's host list.
     *
     * @param hosts the hosts of all daemons
     */
    public void onHosts(final Collection<ListedHost> hosts) {
        notifyListeners(mTable.updateHosts(hosts));
    }

    /**
     * Notes a new authenticated connection to a daemon.
     *
     * @param peer the daemon
     * @param slot its slot
     * @param zone its availability zone
     */
    public void onConnected(final Incarnation peer, final int slot, final String zone) {
        notifyListeners(mTable.heard(peer, slot, zone, 0L, false, mTime.monotonicNanos()));
    }

    /**
     * Handles heartbeats, gossip and leave messages, and ignores all other messages.
     *
     * @param from the sender
     * @param message the message
     */
    public void onMessage(final Incarnation from, final PeerMessage message) {
        final long now = mTime.monotonicNanos();
        if (message instanceof Heartbeat heartbeat) {
            notifyListeners(
                    mTable.heard(
                            from,
                            heartbeat.slot(),
                            heartbeat.zone(),
                            heartbeat.sequence(),
                            heartbeat.leaving(),
                            now));
        } else if (message instanceof Leaving) {
            notifyListeners(mTable.leaving(from, now));
        } else if (message instanceof MemberGossip gossip) {
            notifyListeners(
                    mTable.receiveGossip(gossip.members(), mSequence.get(), mLeaving.get(), now));
        }
    }

    /**
     * Applies the time limits; to be called every 100 ms. If this process was paused, the pause
     * does not count as silence of the members, since nothing could be heard meanwhile.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        notifyListeners(mTable.expire(nowNanos));
    }

    /**
     * Builds this daemon's next heartbeat, to be sent to {@link #peers}.
     *
     * @param configVersion the version of the accepted configuration, 0 if none
     * @param configDigest the digest of the accepted configuration's text, empty if none
     * @param load this daemon's load by upstream
     * @param thresholds the load-shedding thresholds that this daemon raised
     * @return the heartbeat
     */
    public Heartbeat heartbeat(
            final long configVersion,
            final String configDigest,
            final List<PeerLoad> load,
            final List<ShedNotice> thresholds) {
        return new Heartbeat(
                mSequence.incrementAndGet(),
                mSlot,
                mZone,
                mLeaving.get(),
                mTime.wallMillis(),
                configVersion,
                configDigest,
                load,
                thresholds);
    }

    /**
     * Returns the daemons to send heartbeats to. They include dead ones that the host list shows as
     * live, since a partition may have healed; in a large fleet one of these, chosen at random.
     *
     * @return the daemons, without this one
     */
    public Set<Incarnation> peers() {
        return mTable.peers();
    }

    /**
     * Removes and returns the gossip that is due. There is none in a small fleet, where each daemon
     * hears all others directly.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     * @return the messages to send
     */
    public List<AddressedMessage> gossip(final long nowNanos) {
        return mTable.drainGossip(nowNanos);
    }

    /** Marks this daemon as leaving in its heartbeats. */
    public void leave() {
        mLeaving.set(true);
    }

    /**
     * Returns the members that are not dead, with their slots. Suspects, leaving members and this
     * daemon are included.
     *
     * @return the slots by incarnation
     */
    public Map<Incarnation, Integer> live() {
        return mTable.live();
    }

    /**
     * Counts the members that are dead to the failure detector although the host list shows them as
     * live, so that their death is not confirmed.
     *
     * @return the number of unconfirmed deaths
     */
    public int unconfirmedDeaths() {
        return mTable.unconfirmed();
    }

    /**
     * Tells whether a daemon is leaving and takes no new work, as it said itself or as the host
     * list shows.
     *
     * @param member the daemon
     * @return true if it is leaving
     */
    public boolean isLeaving(final Incarnation member) {
        return member.equals(mSelf) && mLeaving.get() || mTable.isLeaving(member);
    }

    /**
     * Returns the state of the member in a slot.
     *
     * @param slot the slot
     * @return the state of the latest incarnation in it, {@code DEAD} if the slot is not known
     */
    public MemberState stateOf(final int slot) {
        return mTable.stateOf(slot);
    }

    private void notifyListeners(final List<MembershipEvent> events) {
        for (final MembershipEvent event : events) {
            mListeners.forEach(listener -> listener.onMembership(event));
        }
    }
}
