package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.Standing;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetShareTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final double UNKNOWN_SHARE = 0.25 / 128;

    private final FleetShare mShare = share(false);

    private static FleetShare share(final boolean firstStart) {
        final FleetShare share = new FleetShare(firstStart, 0, 0);
        share.onSeeds("x", SEEDS);
        return share;
    }

    private static long seconds(final double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    private static void run(
            final FleetShare share, final double from, final double to, final String... heard) {
        for (double time = from; time < to; time += 0.2) {
            for (final String member : heard) {
                share.onHeard(member, seconds(time));
            }
            share.onTimer(heard.length + 1, seconds(time));
        }
    }

    @Nested
    class DaemonThatStarts {
        @Test
        void hasAlmostNoShareByItself() {
            run(mShare, 0, 5);
            assertThat(mShare.share(seconds(5))).isEqualTo(UNKNOWN_SHARE);
        }

        @Test
        void hasItsShareOnceAMemberCountsIt() {
            mShare.onPeerState(Standing.MEMBER, 7, false, SEEDS, seconds(0.5));
            assertThat(mShare.share(seconds(0.5))).isEqualTo(UNKNOWN_SHARE);
            mShare.onPeerState(Standing.MEMBER, 7, true, SEEDS, seconds(0.6));
            assertThat(mShare.share(seconds(0.6))).isEqualTo(1.0 / 7);
        }

        /** Without members, daemons with the majority of the seeds divide three quarters. */
        @Test
        void hasMostOfItsShareIfAllHaveStarted() {
            run(mShare, 0, 3, "a", "b", "d");
            assertThat(mShare.share(seconds(3))).isEqualTo(0.75 / 4);
        }

        @Test
        void hasItsWholeShareAfterTheLongestPartition() {
            run(mShare, 0, 33, "a", "b", "d");
            assertThat(mShare.share(seconds(33))).isEqualTo(1.0 / 4);
        }

        @Test
        void hasItsWholeShareIfTheFleetStartsForTheFirstTime() {
            final FleetShare share = share(true);
            run(share, 0, 5, "a", "b", "d");
            assertThat(share.share(seconds(5))).isEqualTo(1.0 / 4);
        }

        @Test
        void hasNoShareWithTheMinorityOfTheSeeds() {
            run(mShare, 0, 25, "a", "d");
            assertThat(mShare.share(seconds(25))).isEqualTo(UNKNOWN_SHARE);
        }

        @Test
        void hasTheWholeLimitWithoutOtherSeeds() {
            mShare.onSeeds("x", List.of("x"));
            mShare.onTimer(1, 0);
            assertThat(mShare.share(0)).isEqualTo(1.0);
        }
    }

    @Nested
    class Member {
        private final FleetShare mMember = share(true);

        @Test
        void countsSilentDaemonsForTheLongestPartition() {
            run(mMember, 0, 5, "a", "b", "c", "d");
            run(mMember, 5, 30, "a", "b", "c");
            assertThat(mMember.share(seconds(30))).isEqualTo(1.0 / 5);
            run(mMember, 30, 40, "a", "b", "c");
            assertThat(mMember.share(seconds(40))).isEqualTo(1.0 / 4);
        }

        /** The part of a partition with the seeds may have restarted and divide three quarters. */
        @Test
        void leavesMostOfItsShareToTheSeedsItDoesNotHear() {
            run(mMember, 0, 5, "a", "b", "c", "d");
            run(mMember, 5, 8, "a", "d");
            assertThat(mMember.share(seconds(8))).isEqualTo(0.25 / 5);
            run(mMember, 8, 12, "a", "b", "c", "d");
            assertThat(mMember.share(seconds(12))).isEqualTo(1.0 / 5);
        }

        /** A daemon that restarts gets its share as soon as a member hears it. */
        @Test
        void stillCountsADaemonThatRestarts() {
            run(mMember, 0, 5, "a", "b", "c", "d");
            run(mMember, 5, 12, "a", "b", "c");
            assertThat(mMember.counts("d")).isTrue();
        }

        /** A new daemon gets a share only once all daemons had time to learn of it. */
        @Test
        void countsANewDaemonOnceAllAreHeard() {
            run(mMember, 0, 5, "a", "b", "c");
            run(mMember, 5, 7, "a", "b", "c", "new");
            assertThat(mMember.counts("new")).isFalse();
            run(mMember, 7, 9, "a", "b", "c", "new");
            assertThat(mMember.counts("new")).isTrue();
        }

        @Test
        void startsAnewAfterASuspension() {
            run(mMember, 0, 5, "a", "b", "c", "d");
            assertThat(mMember.checkSuspended(seconds(5), 5_000)).isFalse();
            assertThat(mMember.checkSuspended(seconds(5.1), 9_100)).isTrue();
            assertThat(mMember.share(seconds(5.1))).isEqualTo(UNKNOWN_SHARE);
        }
    }
}
