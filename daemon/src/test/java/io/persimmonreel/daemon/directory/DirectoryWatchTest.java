package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DirectoryWatchTest {
    private static final Duration STEP = Duration.ofMillis(50);

    /** Long enough for the first read and for several watches. */
    private static final Duration WARM_UP = Duration.ofSeconds(10);

    /** Longer than a pause and a watch, so that connections fail at every stage of a call. */
    private static final Duration LONGEST_CYCLE = Duration.ofSeconds(6);

    private final VirtualTimers mTimers = new VirtualTimers();
    private final EventLog mLog =
            new EventLog("test", mTimers, new PrintStream(OutputStream.nullOutputStream()));
    private long mVersion;

    private VirtualDirectory mDirectory;
    private DirectoryWatch mWatch;

    @BeforeEach
    void advanceFromZero() {
        mTimers.advance(STEP);
    }

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private void startWatch(final Duration propagation, final Duration recovery, final long seed) {
        final DirectoryTimings timings = DirectoryTimings.within(propagation, recovery);
        mDirectory = new VirtualDirectory(mTimers, timings.responseTimeout());
        final DirectoryState state =
                new DirectoryState(new VersionFormat(), new VersionListener(), mLog);
        mWatch = new DirectoryWatch(mDirectory, state, mTimers, mTimers, timings, mLog, seed);
        mWatch.start();
        mTimers.advance(WARM_UP);
    }

    /** Decodes a configuration from its version. */
    private static final class VersionFormat extends TestFormat {
        @Override
        public boolean isReplica(final String name) {
            return false;
        }

        @Override
        public RelayConfiguration readConfiguration(final String name, final byte[] content) {
            return configuration(Long.parseLong(new String(content, StandardCharsets.UTF_8)));
        }

        @Override
        public ReplicaEntry readReplica(final String name, final byte[] content) {
            throw new AssertionError("there are no replicas");
        }
    }

    /** Records the version in force. */
    private final class VersionListener implements DirectoryListener {
        @Override
        public void onConfiguration(final RelayConfiguration configuration) {
            mVersion = configuration.version();
        }

        @Override
        public void onReplicas(final Collection<ReplicaEntry> entries) {}
    }

    @Nested
    class ConfirmedChange {
        @ParameterizedTest
        @CsvSource({"2000, 3000", "3000, 4000", "4000, 5000", "1000, 2500"})
        void isInForceWithinThePropagationTime(final long propagation, final long recovery) {
            startWatch(Duration.ofMillis(propagation), Duration.ofMillis(recovery), 1);
            for (Duration age = Duration.ZERO;
                    age.compareTo(LONGEST_CYCLE) < 0;
                    age = age.plus(STEP)) {
                mTimers.advance(age);
                final long published = mDirectory.publish();
                mTimers.advance(Duration.ofMillis(propagation));
                assertThat(mVersion).as("a change after %s", age).isEqualTo(published);
            }
        }

        @ParameterizedTest
        @CsvSource({"2000, 3000", "3000, 4000", "4000, 5000", "1000, 2500"})
        void isNotDelayedPastTheRecoveryTimeByAConnectionThatBecomesSilent(
                final long propagation, final long recovery) {
            startWatch(Duration.ofMillis(propagation), Duration.ofMillis(recovery), 2);
            checkSilentConnections(recovery, () -> {});
        }

        @ParameterizedTest
        @CsvSource({"2000, 3000", "3000, 4000", "4000, 5000", "1000, 2500"})
        void isNotDelayedPastTheRecoveryTimeByALostHistoryBesides(
                final long propagation, final long recovery) {
            startWatch(Duration.ofMillis(propagation), Duration.ofMillis(recovery), 3);
            checkSilentConnections(recovery, () -> mDirectory.dropHistory());
        }

        /** The same watch would return the same changes, however often it is repeated. */
        @Test
        void isInForceThoughTheResponseOfTheWatchCannotBeUsed() {
            startWatch(Duration.ofMillis(2_000), Duration.ofMillis(3_000), 4);
            final long published = mDirectory.publish();
            mDirectory.makeChangesUnusable();
            mTimers.advance(Duration.ofMillis(2_000));
            assertThat(mVersion).isEqualTo(published);
        }

        private void checkSilentConnections(final long recovery, final Runnable besides) {
            for (Duration age = Duration.ZERO;
                    age.compareTo(LONGEST_CYCLE) < 0;
                    age = age.plus(STEP)) {
                mDirectory.publish();
                mTimers.advance(age);
                mDirectory.silenceConnection();
                final long published = mDirectory.publish();
                besides.run();
                mTimers.advance(Duration.ofMillis(recovery));
                assertThat(mVersion)
                        .as("a connection that is silent %s after a change", age)
                        .isEqualTo(published);
                mTimers.advance(WARM_UP);
            }
        }
    }

    @Nested
    class Confirmation {
        /** Covers the read of the version, the call for the change and their responses. */
        private static final Duration TWO_CALLS = Duration.ofMillis(50);

        private long mSeen;

        @BeforeEach
        void start() {
            startWatch(Duration.ofSeconds(2), Duration.ofSeconds(3), 1);
        }

        /** Guards against a confirmation by a call that the directory answered before. */
        @Test
        void followsTheChangesThatTheDirectoryHas() {
            for (int i = 0; i < 60; i++) {
                final long published = mDirectory.publish();
                mSeen = 0;
                mWatch.confirm(now -> mSeen = mVersion);
                mTimers.advance(STEP.multipliedBy(2));
                assertThat(mSeen).isEqualTo(published);
                mTimers.advance(Duration.ofMillis(37));
            }
        }

        @Test
        void comesSoonWithoutChanges() {
            for (int i = 0; i < 60; i++) {
                mSeen = 0;
                mWatch.confirm(now -> mSeen = mVersion);
                mTimers.advance(TWO_CALLS);
                assertThat(mSeen).isPositive();
                mTimers.advance(Duration.ofMillis(37));
            }
        }

        /** Guards against a stale view that is taken for a current one during an outage. */
        @Test
        void doesNotComeWhileTheWatchIsSilent() {
            mDirectory.silenceConnection();
            mDirectory.publish();
            mWatch.confirm(now -> mSeen = now);
            mTimers.advance(Duration.ofMillis(300));
            assertThat(mSeen).isZero();
            mTimers.advance(WARM_UP);
            assertThat(mSeen).isPositive();
        }
    }
}
