package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.daemon.directory.RestorableDirectory.Copy;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Follows a directory that is restored, through {@link DirectoryWatch}. */
class DirectoryRestoreTest {
    private static final String CONFIG = RestoreFixture.CONFIGURATION;
    private static final DirectoryTimings TIMINGS =
            DirectoryTimings.within(Duration.ofSeconds(2), Duration.ofSeconds(3));

    private final VirtualTimers mTimers = new VirtualTimers();
    private final RestoreFixture mDaemon = new RestoreFixture(mTimers);
    private final RestoreFixture mPeer = new RestoreFixture(mTimers);
    private final RestorableDirectory mDirectory = new RestorableDirectory(mTimers, 3, 100);
    private DirectoryWatch mWatch;
    private Copy mCopy;

    @BeforeEach
    void loseWritesAfterACopy() {
        mTimers.advance(Duration.ofMillis(50));
        mDirectory.put(CONFIG, "7").put("r1", "ready 4 17");
        mCopy = mDirectory.copy();
        for (int i = 5; i < 50; i++) {
            mDirectory.put("r1", "ready " + i + " 17");
        }
        mWatch =
                new DirectoryWatch(
                        mDirectory, mDaemon.mState, mTimers, mTimers, TIMINGS, mDaemon.mLog, 1);
        mWatch.start();
        advance(2_000);
        assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(3, 147));
    }

    @AfterEach
    void close() {
        mDaemon.close();
        mPeer.close();
    }

    private void advance(final long millis) {
        mTimers.advance(Duration.ofMillis(millis));
    }

    /** Passes a copy of the peer's documents to the daemon, if the peer's are newer. */
    private void copyFromPeer() {
        mPeer.mState.copyFor(mDaemon.mState.request()).ifPresent(mWatch::onCopy);
    }

    @Nested
    class Watch {
        /** Guards against documents that are dropped until the new revision has passed the old. */
        @Test
        void followsTheLowerRevisionOfANewEra() {
            mDirectory.restore(mCopy);
            mDirectory.put(CONFIG, "8").put("r2", "ready 1 18");
            advance(2_000);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 104));
            assertThat(mDaemon.mVersions).containsExactly(7L, 8L);
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
            mDirectory.put("r2", "draining 2 18");
            advance(2_000);
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2-");
        }

        /** The changes after the old revision are not all changes since the restore. */
        @Test
        void readsAllIfTheNewEraHasPassedTheOldRevision() {
            final int reads = mDirectory.reads();
            mDirectory.restore(mCopy);
            for (int i = 0; i < 100; i++) {
                mDirectory.put("r2", "ready " + i + " 18");
            }
            advance(2_000);
            assertThat(mDirectory.reads()).isEqualTo(reads + 1);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 202));
        }
    }

    @Nested
    class Peers {
        /** Daemons see the new era at different times; the revision of the old one is higher. */
        @Test
        void ofTheOldEraAreIgnored() {
            mPeer.snapshot(3, 500, CONFIG, "9", "r1", "draining 99 17");
            mDirectory.restore(mCopy);
            advance(2_000);
            mDirectory.setDown(true);
            advance(3_000);
            copyFromPeer();
            mWatch.onCopy(mPeer.mState.copyFor(new RestoreFixture(mTimers).mState.request()).get());
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 102));
            assertThat(mDaemon.mVersions).containsExactly(7L);
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        /** The daemon knows the new era, but has not read its documents. */
        @Test
        void ofTheOldEraAreIgnoredBeforeTheFullRead() {
            mPeer.snapshot(3, 500, "r1", "draining 99 17");
            mDirectory.setFailsReads(true);
            mDirectory.restore(mCopy);
            advance(3_000);
            assertThat(mDaemon.mState.version().era()).isEqualTo(3);
            copyFromPeer();
            assertThat(mDaemon.replicas()).containsExactly("r1+");
        }

        @Test
        void ofANewerEraPrevailIfTheDirectoryIsUnreachable() {
            mDirectory.setDown(true);
            mPeer.snapshot(4, 10, CONFIG, "8", "r1", "ready 4 17", "r2", "ready 1 18");
            advance(3_000);
            copyFromPeer();
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 10));
            assertThat(mDaemon.mVersions).containsExactly(7L, 8L);
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
        }

        /**
         * A watch of the old era returns changes after its revision in the new one, which are not
         * all changes since the peer's copy.
         */
        @Test
        void ofANewerEraLeadToAFullReadWithTheNextResponse() {
            final int reads = mDirectory.reads();
            while (!mDirectory.isWatched()) {
                advance(1);
            }
            mDirectory.restore(mCopy);
            mPeer.snapshot(4, 102, "r1", "ready 4 17");
            copyFromPeer();
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 102));
            for (int i = 0; i < 100; i++) {
                mDirectory.put("r2", "ready " + i + " 18");
            }
            advance(3_000);
            assertThat(mDirectory.reads()).isEqualTo(reads + 1);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 202));
        }
    }

    @Nested
    class Outage {
        /** The directory fails halfway through the full read of the new era. */
        @Test
        void inTheFullReadKeepsTheOldDocumentsUntilTheNextRead() {
            mDirectory.setFailsReads(true);
            mDirectory.restore(mCopy);
            mDirectory.put("r2", "ready 1 18");
            advance(3_000);
            assertThat(mDaemon.replicas()).containsExactly("r1+");
            mDirectory.setFailsReads(false);
            advance(2_000);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 103));
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
        }

        @Test
        void inTheFullReadMayHideASecondRestore() {
            mDirectory.setFailsReads(true);
            mDirectory.restore(mCopy);
            mDirectory.put("r1", "draining 60 17");
            advance(3_000);
            mDirectory.restore(mCopy);
            mDirectory.setFailsReads(false);
            mDirectory.put("r2", "ready 1 18");
            advance(2_000);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(5, 103));
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
        }
    }

    @Nested
    class SecondRestore {
        /** The drain was read in the first new era, and is lost by the second restore. */
        @Test
        void undoesNoDrainOfTheFirst() {
            mDirectory.restore(mCopy);
            mDirectory.put("r1", "draining 60 17");
            advance(2_000);
            assertThat(mDaemon.replicas()).containsExactly("r1-");
            mDirectory.restore(mCopy);
            advance(2_000);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(5, 102));
            assertThat(mDaemon.replicas()).containsExactly("r1-");
        }
    }

    @Nested
    class LateResponse {
        /** An old connection delivers a response of the old era after the new era is known. */
        @Test
        void ofAnOlderEraIsIgnored() {
            mDirectory.put("r1", "ready 50 17");
            mDirectory.answerNextCallLate();
            advance(1_000);
            mDirectory.restore(mCopy);
            mPeer.snapshot(4, 102, "r1", "ready 4 17", "r3", "ready 1 18");
            copyFromPeer();
            advance(900);
            assertThat(mDaemon.mEvents).containsExactly("new-era", "held", "older-era-ignored");
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r3+");
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 102));
            assertThat(mWatch.silentNanos()).isGreaterThan(Duration.ofMillis(1_800).toNanos());
            mDirectory.put("r1", "draining 51 17");
            advance(2_000);
            assertThat(mDaemon.mState.version()).isEqualTo(new DirectoryVersion(4, 103));
            assertThat(mDaemon.replicas()).contains("r1-");
        }
    }
}
