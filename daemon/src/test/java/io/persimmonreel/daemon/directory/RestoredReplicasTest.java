package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.time.VirtualTimers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RestoredReplicasTest {
    private final VirtualTimers mTimers = new VirtualTimers();
    private final RestoreFixture mDaemon = new RestoreFixture(mTimers);

    @AfterEach
    void close() {
        mDaemon.close();
    }

    @Nested
    class DrainingBeforeTheRestore {
        /** The copy is from before the replica began to drain. It takes no requests any more. */
        @Test
        void staysDrainingUntilTheReplicaHasWrittenAgain() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.change(1, 101, "r1", "draining 5 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-");
            mDaemon.snapshot(2, 91, "r1", "ready 4 17");
            mDaemon.advance(60_000);
            assertThat(mDaemon.replicas()).containsExactly("r1-");
            mDaemon.change(2, 92, "r1", "ready 6 17");
            assertThat(mDaemon.replicas()).containsExactly("r1+");
            assertThat(mDaemon.mEvents).containsExactly("new-era", "held", "confirmed");
        }

        @Test
        void endsWithTheReplica() {
            mDaemon.snapshot(1, 100, "r1", "draining 5 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            mDaemon.change(2, 91, "r1", null);
            assertThat(mDaemon.replicas()).isEmpty();
        }

        /** A daemon may read the new era only after the replica has written again. */
        @Test
        void endsAtOnceWithALaterWriteOrStart() {
            mDaemon.snapshot(1, 100, "r1", "draining 5 17", "r2", "draining 5 17");
            mDaemon.snapshot(2, 90, "r1", "ready 6 17", "r2", "ready 1 18");
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
        }

        @Test
        void isKeptWithoutWriteNumbers() {
            mDaemon.snapshot(1, 100, "r1", "draining");
            mDaemon.snapshot(2, 90, "r1", "ready");
            assertThat(mDaemon.replicas()).containsExactly("r1-");
            mDaemon.change(2, 91, "r1", "ready 1");
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        /** The lost write is repeated as it was, and does not end the drain. */
        @Test
        void isConfirmedByTheRepeatedWrite() {
            mDaemon.snapshot(1, 100, "r1", "draining 5 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            mDaemon.change(2, 91, "r1", "draining 5 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-");
            mDaemon.snapshot(3, 80, "r1", "draining 5 17");
            assertThat(mDaemon.mState.request().have().era()).isEqualTo(3);
            assertThat(mDaemon.replicas()).containsExactly("r1-");
        }

        @Test
        void outlastsASecondRestore() {
            mDaemon.snapshot(1, 100, "r1", "draining 5 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            mDaemon.snapshot(3, 80, "r1", "ready 4 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-");
            mDaemon.snapshot(4, 70, "r1", "ready 3 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-");
        }

        /** The peer has heard only of the restored entry, not of the drain. */
        @Test
        void isPassedOnWithACopy() {
            final RestoreFixture peer = new RestoreFixture(mTimers);
            peer.snapshot(1, 95, "r1", "ready 4 17");
            mDaemon.snapshot(1, 100, "r1", "draining 5 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            peer.copyFrom(mDaemon);
            assertThat(peer.replicas()).containsExactly("r1-");
            peer.change(2, 91, "r1", "ready 6 17");
            assertThat(peer.replicas()).containsExactly("r1+");
            peer.close();
        }
    }

    @Nested
    class MissingFromTheCopy {
        @Test
        void isKeptForTheGraceTime() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17", "r2", "ready 4 17");
            mDaemon.advance(10_000);
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            mDaemon.advance(800);
            mDaemon.snapshot(2, 91, "r1", "ready 4 17");
            mDaemon.advance(800);
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
            mDaemon.advance(200);
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        @Test
        void staysIfItsWriteIsRepeated() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.snapshot(2, 90);
            mDaemon.change(2, 91, "r1", "ready 4 17");
            mDaemon.advance(10_000);
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        /** Replicas that a second restore loses again need the time for a second repetition. */
        @Test
        void isKeptForTheGraceTimeOfASecondRestore() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.snapshot(2, 90);
            mDaemon.advance(1_500);
            mDaemon.snapshot(3, 80);
            mDaemon.advance(1_500);
            assertThat(mDaemon.replicas()).containsExactly("r1+");
            mDaemon.advance(300);
            assertThat(mDaemon.replicas()).isEmpty();
        }

        /** Outside the grace time of a restore an entry that is gone must not be used. */
        @Test
        void isRemovedAtOnceLaterInTheEra() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            mDaemon.advance(5_000);
            mDaemon.snapshot(2, 91);
            assertThat(mDaemon.replicas()).isEmpty();
        }

        /** The peer would keep it for ever, since nothing tells it when the entry is removed. */
        @Test
        void isNotPassedOnToAPeerOfTheOldEra() {
            final RestoreFixture peer = new RestoreFixture(mTimers);
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            peer.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.snapshot(2, 90);
            peer.copyFrom(mDaemon);
            assertThat(peer.replicas()).containsExactly("r1+");
            peer.advance(2_000);
            assertThat(peer.replicas()).isEmpty();
            peer.close();
        }
    }

    @Nested
    class RemovedBeforeTheRestore {
        /** The replica has left; its entry comes back with the copy. */
        @Test
        void countsAsDrainingUntilTheReplicaHasWrittenAgain() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17", "r2", "ready 4 17");
            mDaemon.change(1, 101, "r1", null);
            mDaemon.snapshot(1, 102);
            mDaemon.snapshot(2, 90, "r1", "ready 4 17", "r2", "ready 3 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-", "r2-");
            mDaemon.snapshot(3, 80, "r1", "ready 4 17", "r2", "ready 3 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-", "r2-");
            mDaemon.change(3, 81, "r1", "ready 5 17", "r2", "ready 1 18");
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
        }

        @Test
        void isUsableIfItsWriteIsLaterThanTheRemoval() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.change(1, 101, "r1", null);
            mDaemon.snapshot(2, 90, "r1", "ready 1 18");
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        @Test
        void isUsableIfItHadReturnedBefore() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.change(1, 101, "r1", null);
            mDaemon.change(1, 102, "r1", "ready 4 17");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        @Test
        void isNotUsableIfItWasUnreadable() {
            mDaemon.snapshot(1, 100, "r1", "ready 4 17");
            mDaemon.change(1, 101, "r1", "?");
            mDaemon.snapshot(2, 90, "r1", "ready 4 17");
            assertThat(mDaemon.replicas()).containsExactly("r1-");
        }
    }

    @Nested
    class EntriesInUse {
        /** The copy has the entry of an earlier start, whose address may be another's now. */
        @Test
        void stayIfTheCopyHasAnEarlierWrite() {
            mDaemon.snapshot(1, 100, "r1", "ready 1 18", "r2", "ready 9 17");
            mDaemon.snapshot(2, 90, "r1", "ready 7 17", "r2", "draining 8 17");
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
            assertThat(mDaemon.mState.copyFor(new RestoreFixture(mTimers).mState.request()))
                    .hasValueSatisfying(
                            copy ->
                                    assertThat(copy.unconfirmed())
                                            .containsExactlyInAnyOrder("r1", "r2"));
        }

        @Test
        void areNotHeldAtTheFirstRead() {
            mDaemon.snapshot(5, 100, "r1", "ready 1 18");
            assertThat(mDaemon.replicas()).containsExactly("r1+");
            assertThat(mDaemon.mEvents).isEmpty();
        }
    }

    @Nested
    class Listeners {
        /** Other kinds of documents get their rules at this point. */
        @Test
        void areCalledOnceForEachEraBeforeItsDocumentsAreApplied() {
            final List<String> calls = new ArrayList<>();
            mDaemon.mState.addRestoreListener(
                    (era, nanos, present) ->
                            calls.add(era + " " + nanos + " " + present + mDaemon.replicas()));
            mDaemon.snapshot(1, 100, "r1", "ready 1 18");
            mDaemon.mState.onEra(2, 7);
            mDaemon.advance(1);
            mDaemon.snapshot(2, 90, "r2", "ready 1 18");
            mDaemon.snapshot(2, 91, "r2", "ready 2 18");
            assertThat(calls).containsExactly("2 7 [r2][r1+]");
        }
    }
}
