package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationInForceTest {
    private static final String CONFIG = RestoreFixture.CONFIGURATION;

    private final VirtualTimers mTimers = new VirtualTimers();
    private final RestoreFixture mDaemon = new RestoreFixture(mTimers);
    private final RestoreFixture mPeer = new RestoreFixture(mTimers);

    @BeforeEach
    void readVersionEightInEraOne() {
        mDaemon.snapshot(1, 100, CONFIG, "8 a");
        mPeer.snapshot(1, 100, CONFIG, "8 a");
    }

    @AfterEach
    void close() {
        mDaemon.close();
        mPeer.close();
    }

    /** Returns the text that a daemon without documents gets. */
    private static String text(final RestoreFixture daemon) {
        final DirectoryCopy copy =
                daemon.mState
                        .copyFor(new RestoreFixture(new VirtualTimers()).mState.request())
                        .orElseThrow();
        return new String(
                copy.contents().get(copy.names().indexOf(CONFIG)), StandardCharsets.UTF_8);
    }

    @Nested
    class AfterARestore {
        /** The copy has the keys that version 8 revoked. */
        @Test
        void staysUntilAHigherVersionArrives() {
            mDaemon.snapshot(2, 90, CONFIG, "7 a");
            mDaemon.snapshot(3, 80);
            mDaemon.change(3, 81, CONFIG, null);
            assertThat(mDaemon.mVersions).containsExactly(8L);
            assertThat(text(mDaemon)).isEqualTo("8 a");
            mDaemon.change(3, 82, CONFIG, "9 a");
            assertThat(mDaemon.mVersions).containsExactly(8L, 9L);
        }

        @Test
        void isNotReportedAgainIfItIsWrittenAgain() {
            mDaemon.snapshot(2, 90, CONFIG, "7 a");
            mDaemon.change(2, 91, CONFIG, "8 a");
            assertThat(mDaemon.mVersions).containsExactly(8L);
            assertThat(mDaemon.mEvents).containsExactly("new-era");
        }

        @Test
        void hasTheContentOfTheNewerEra() {
            mDaemon.snapshot(2, 90, CONFIG, "7 a");
            mDaemon.change(2, 91, CONFIG, "8 b");
            assertThat(mDaemon.mVersions).containsExactly(8L, 8L);
            assertThat(text(mDaemon)).isEqualTo("8 b");
            assertThat(mDaemon.mEvents).containsExactly("new-era", "content-replaced");
        }

        /** Within an era the version alone decides, as without restores. */
        @Test
        void keepsItsContentWithinAnEra() {
            mDaemon.change(1, 101, CONFIG, "8 b");
            assertThat(text(mDaemon)).isEqualTo("8 a");
        }
    }

    @Nested
    class OfAPeer {
        /** A content that the peer has from the old era must not pass for one of the new era. */
        @Test
        void keepsTheEraOfItsContent() {
            mDaemon.snapshot(2, 90, CONFIG, "7 a");
            mPeer.copyFrom(mDaemon);
            assertThat(mPeer.mState.version()).isEqualTo(new DirectoryVersion(2, 90));
            mDaemon.change(2, 91, CONFIG, "8 b");
            mPeer.copyFrom(mDaemon);
            assertThat(text(mPeer)).isEqualTo("8 b");
            assertThat(mPeer.mVersions).containsExactly(8L, 8L);
        }

        /** A daemon that starts after the restore reads a version whose keys were revoked. */
        @Test
        void isTakenIfTheRestoredDirectoryLacksIt() {
            mPeer.snapshot(2, 90, CONFIG, "7 a");
            try (RestoreFixture started = new RestoreFixture(mTimers)) {
                started.snapshot(2, 90, CONFIG, "7 a", "r1", "ready");
                assertThat(started.mState.lacksConfiguration(new DirectoryVersion(2, 90), 8))
                        .isTrue();
                assertThat(started.mState.lacksConfiguration(new DirectoryVersion(2, 91), 8))
                        .isFalse();
                started.copyFrom(mPeer);
                assertThat(started.mVersions).containsExactly(7L, 8L);
                assertThat(started.replicas()).containsExactly("r1+");
            }
        }
    }
}
