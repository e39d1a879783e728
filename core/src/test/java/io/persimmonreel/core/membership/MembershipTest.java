package io.persimmonreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.Heartbeat;
import io.persimmonreel.core.peer.PeerMessage.MemberGossip;
import io.persimmonreel.core.peer.PeerMessage.MemberNews;
import io.persimmonreel.core.peer.PeerMessage.NewsState;
import io.persimmonreel.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final Incarnation SELF = new Incarnation(1);
    private static final Incarnation PEER = new Incarnation(2);

    private long mNowMillis;
    private final TimeSource mTime =
            new TimeSource() {
                @Override
                public long monotonicNanos() {
                    return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
                }

                @Override
                public long wallMillis() {
                    return mNowMillis;
                }
            };
    private final Membership mMembership = new Membership(SELF, 1, "a", mTime, new Random(1L));
    private final List<MembershipEvent> mEvents = new ArrayList<>();

    private void heartbeat(final Incarnation from, final int slot, final long sequence) {
        mMembership.onMessage(
                from, new Heartbeat(sequence, slot, "a", false, 0L, 0L, "", List.of(), List.of()));
    }

    private void advance(final long millis) {
        for (long end = mNowMillis + millis; mNowMillis < end; ) {
            mNowMillis += 100;
            mMembership.onTimer(mTime.monotonicNanos());
        }
    }

    @Nested
    class HostListAndHeartbeats {
        /**
         * Guards against work for a silent daemon because an outdated host list shows it as live.
         */
        @Test
        void listedButSilentMemberIsDeadAndUnconfirmed() {
            mMembership.onHosts(List.of(new ListedHost(2, "a", false)));
            assertThat(mMembership.stateOf(2)).isEqualTo(MemberState.NEW);
            heartbeat(PEER, 2, 1);
            advance(2_100);
            assertThat(mMembership.stateOf(2)).isEqualTo(MemberState.SUSPECT);
            advance(3_000);
            assertThat(mMembership.stateOf(2)).isEqualTo(MemberState.DEAD);
            assertThat(mMembership.live()).containsOnlyKeys(SELF);
            assertThat(mMembership.unconfirmedDeaths()).isEqualTo(1);
            assertThat(mMembership.peers()).contains(PEER);
            mMembership.onHosts(List.of());
            assertThat(mMembership.unconfirmedDeaths()).isZero();
        }

        /** Guards against ignoring a daemon that is not in the host list yet. */
        @Test
        void unlistedButHeardMemberIsAlive() {
            mMembership.onHosts(List.of());
            heartbeat(PEER, 2, 1);
            assertThat(mMembership.live()).containsEntry(PEER, 2);
        }

        /** Guards against new work for a daemon that the host list shows as leaving. */
        @Test
        void memberListedAsLeavingIsLeavingAtOnce() {
            heartbeat(PEER, 2, 1);
            mMembership.onHosts(List.of(new ListedHost(2, "a", true)));
            assertThat(mMembership.isLeaving(PEER)).isTrue();
            assertThat(mMembership.live()).containsKey(PEER);
        }
    }

    @Nested
    class Replacement {
        /** Guards against counting a process that was replaced in its slot as a live member. */
        @Test
        void newIncarnationReplacesTheOldOne() {
            mMembership.subscribe(mEvents::add);
            heartbeat(PEER, 2, 9);
            heartbeat(new Incarnation(3), 2, 1);
            assertThat(mMembership.live()).containsOnlyKeys(SELF, new Incarnation(3));
            assertThat(mEvents).extracting(MembershipEvent::to).contains(MemberState.DEAD);
        }

        /**
         * Guards against leaving out a replaced process that still runs; it counts towards the
         * limit of daemons.
         */
        @Test
        void replacedMemberThatIsHeardAgainIsLive() {
            heartbeat(PEER, 2, 9);
            heartbeat(new Incarnation(3), 2, 1);
            heartbeat(PEER, 2, 10);
            assertThat(mMembership.live()).hasSize(3);
        }
    }

    @Nested
    class Pauses {
        /** Guards against a paused process that declares all of its peers dead (hazard 26). */
        @Test
        void ownPauseDoesNotCountAsSilence() {
            heartbeat(PEER, 2, 1);
            advance(1_000);
            mNowMillis += 60_000;
            mMembership.onTimer(mTime.monotonicNanos());
            assertThat(mMembership.stateOf(2)).isEqualTo(MemberState.ALIVE);
            advance(5_000);
            assertThat(mMembership.stateOf(2)).isEqualTo(MemberState.DEAD);
        }
    }

    @Nested
    class LargeFleets {
        /** Guards against heartbeats to all members of a large fleet. */
        @Test
        void exchangeHeartbeatsWithTwelvePeers() {
            for (int slot = 2; slot <= 200; slot++) {
                heartbeat(new Incarnation(slot), slot, 1);
            }
            assertThat(mMembership.peers()).hasSize(12);
        }

        /**
         * Guards against a false suspicion that spreads although the suspected member was heard.
         */
        @Test
        void correctFalseSuspicionsByGossip() {
            for (int slot = 2; slot <= 40; slot++) {
                heartbeat(new Incarnation(slot), slot, 5);
            }
            mMembership.gossip(0L);
            mMembership.heartbeat(0L, "", List.of(), List.of());
            receiveGossip(new MemberNews(PEER.id(), 2, "a", 4L, NewsState.SUSPECT));
            receiveGossip(new MemberNews(SELF.id(), 1, "a", 0L, NewsState.DEAD));
            assertThat(mMembership.stateOf(2)).isEqualTo(MemberState.ALIVE);
            assertThat(mMembership.gossip(0L))
                    .hasSize(12)
                    .allSatisfy(
                            addressed ->
                                    assertThat(((MemberGossip) addressed.message()).members())
                                            .containsExactlyInAnyOrder(
                                                    new MemberNews(
                                                            PEER.id(), 2, "a", 5L, NewsState.ALIVE),
                                                    new MemberNews(
                                                            SELF.id(),
                                                            1,
                                                            "a",
                                                            1L,
                                                            NewsState.ALIVE)));
        }

        /** Guards against work for a dead member that this daemon does not hear directly. */
        @Test
        void learnDeathsByGossip() {
            for (int slot = 2; slot <= 40; slot++) {
                heartbeat(new Incarnation(slot), slot, 5);
            }
            int slot = 2;
            while (mMembership.peers().contains(new Incarnation(slot))) {
                slot++;
            }
            receiveGossip(new MemberNews(slot, slot, "a", 5L, NewsState.DEAD));
            assertThat(mMembership.live()).hasSize(39).doesNotContainKey(new Incarnation(slot));
            receiveGossip(new MemberNews(slot, slot, "a", 6L, NewsState.ALIVE));
            assertThat(mMembership.live()).hasSize(40);
        }

        private void receiveGossip(final MemberNews news) {
            mMembership.onMessage(new Incarnation(3), new MemberGossip(List.of(news)));
        }
    }
}
