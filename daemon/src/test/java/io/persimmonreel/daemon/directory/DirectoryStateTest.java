package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.peer.PeerMessage.DirectoryRequest;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DirectoryStateTest {
    private final EventLog mLog =
            new EventLog(
                    "test",
                    new SystemTimeSource(),
                    new PrintStream(OutputStream.nullOutputStream()));
    private final Recorder mRecorder = new Recorder();
    private final DirectoryState mState = new DirectoryState(new TextFormat(), mRecorder, mLog);

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    /** Reads a configuration from its version as text, and a replica from "ready" or "draining". */
    private static final class TextFormat extends TestFormat {
        @Override
        public RelayConfiguration readConfiguration(final String name, final byte[] content)
                throws DirectoryException {
            try {
                return configuration(Long.parseLong(new String(content, StandardCharsets.UTF_8)));
            } catch (final NumberFormatException e) {
                throw new DirectoryException(Step.CONFIGURE, name, "must be a number", e);
            }
        }

        @Override
        public ReplicaEntry readReplica(final String name, final byte[] content)
                throws DirectoryException {
            final String text = new String(content, StandardCharsets.UTF_8);
            if (text.equals("deep")) {
                throw new StackOverflowError("expected in this test");
            }
            if (text.equals("odd")) {
                throw new IllegalArgumentException("expected in this test");
            }
            if (!text.equals("ready") && !text.equals("draining")) {
                throw new DirectoryException(
                        Step.CONFIGURE, name, "must be ready or draining", null);
            }
            return new ReplicaEntry(
                    name, "app", "10.0.0.1", 80, "z", 4, text.equals("draining"), 1);
        }
    }

    /** Records the versions and the replicas that the state reports. */
    private static final class Recorder implements DirectoryListener {
        private final List<Long> mVersions = new ArrayList<>();
        private final List<Set<String>> mReplicasAtConfiguration = new ArrayList<>();
        private TreeSet<String> mReplicas = new TreeSet<>();

        @Override
        public void onConfiguration(final RelayConfiguration configuration) {
            mVersions.add(configuration.version());
            mReplicasAtConfiguration.add(mReplicas);
        }

        @Override
        public void onReplicas(final Collection<ReplicaEntry> entries) {
            mReplicas = new TreeSet<>();
            entries.forEach(e -> mReplicas.add(e.id() + (e.draining() ? "-" : "+")));
        }
    }

    private static Document document(final String name, final String content) {
        return new Document(
                name, Optional.ofNullable(content).map(c -> c.getBytes(StandardCharsets.UTF_8)));
    }

    private static DirectoryVersion version(final long revision) {
        return new DirectoryVersion(0, revision);
    }

    private DirectoryCopy copyFor(final long configVersion) {
        return mState.copyFor(new DirectoryRequest(DirectoryVersion.NONE, configVersion, 0))
                .orElseThrow();
    }

    private void applySnapshot(
            final long revision, final boolean afterOutage, final Document... documents) {
        mState.applySnapshot(version(revision), List.of(documents), afterOutage, 0);
    }

    @Nested
    class Configuration {
        /** The directory or a peer may serve an older version; the newer one must stay in use. */
        @Test
        void neverReturnsToAnOlderVersion() {
            applySnapshot(1, false, document("config", "7"));
            mState.applyChanges(version(2), List.of(document("config", "6")));
            mState.applyChanges(version(3), List.of(document("config", "unreadable")));
            mState.applyChanges(version(4), List.of(document("config", null)));
            mState.applyChanges(version(5), List.of(document("config", "9")));
            assertThat(mRecorder.mVersions).containsExactly(7L, 9L);
        }

        /**
         * Requests that waited for the configuration are placed as soon as it is reported, and
         * would be refused for want of replicas.
         */
        @Test
        void isReportedAfterTheReplicasOfTheSameDocuments() {
            applySnapshot(1, false, document("config", "7"), document("r1", "ready"));
            mState.applyChanges(
                    version(2), List.of(document("config", "8"), document("r2", "ready")));
            assertThat(mRecorder.mReplicasAtConfiguration)
                    .containsExactly(Set.of("r1+"), Set.of("r1+", "r2+"));
        }

        @Test
        void isCopiedToAPeerOnlyIfNewer() {
            applySnapshot(5, false, document("config", "7"), document("r1", "ready"));
            final DirectoryCopy copy = copyFor(6);
            assertThat(copy.names()).containsExactlyInAnyOrder("config", "r1");
            assertThat(copyFor(7).names()).containsExactly("r1");
            assertThat(copy.version()).isEqualTo(version(5));
        }
    }

    @Nested
    class Replicas {
        /** An incomplete entry, or one of another program, must not affect other entries. */
        @Test
        void ignoreInvalidEntries() {
            applySnapshot(
                    1, false, document("r1", "ready"), document("r2", "?"), document("x", "ready"));
            assertThat(mRecorder.mReplicas).containsExactly("r1+");
        }

        /** A replica whose entry becomes unreadable must not be used any more. */
        @Test
        void removeEntriesThatBecomeInvalid() {
            applySnapshot(1, false, document("r1", "ready"), document("r2", "ready"));
            mState.applyChanges(version(2), List.of(document("r1", "?")));
            assertThat(mRecorder.mReplicas).containsExactly("r2+");
        }

        @Test
        void followDrainingAndRemoval() {
            applySnapshot(1, false, document("r1", "ready"), document("r2", "ready"));
            mState.applyChanges(
                    version(2), List.of(document("r1", "draining"), document("r2", null)));
            assertThat(mRecorder.mReplicas).containsExactly("r1-");
        }

        /** Entries that expired in an outage return within two seconds unless the replica left. */
        @Test
        void areKeptForAShortTimeAfterAnOutage() {
            applySnapshot(1, false, document("r1", "ready"), document("r2", "ready"));
            applySnapshot(2, true, document("r1", "ready"));
            assertThat(mRecorder.mReplicas).containsExactly("r1+", "r2+");
            mState.removeAbsentReplicas(Duration.ofMillis(1_500).toNanos());
            assertThat(mRecorder.mReplicas).containsExactly("r1+", "r2+");
            mState.removeAbsentReplicas(Duration.ofMillis(1_800).toNanos());
            assertThat(mRecorder.mReplicas).containsExactly("r1+");
        }

        /**
         * The directory answers a call late, after a peer has sent newer documents. The next watch
         * starts after these, so that a removal in between would never be seen again.
         */
        @Test
        void doNotReturnWithChangesOfAnOlderRevision() {
            applySnapshot(1, false, document("r1", "ready"));
            applySnapshot(10, false);
            mState.applyChanges(version(5), List.of(document("r1", "ready")));
            assertThat(mRecorder.mReplicas).isEmpty();
            assertThat(mState.version()).isEqualTo(version(10));
        }

        @Test
        void doNotReturnWithASnapshotOfAnOlderRevision() {
            applySnapshot(1, false, document("r1", "ready"));
            applySnapshot(10, false);
            applySnapshot(5, false, document("r1", "ready"));
            assertThat(mRecorder.mReplicas).isEmpty();
            assertThat(mState.version()).isEqualTo(version(10));
        }

        @Test
        void stayIfTheyReturnAfterAnOutage() {
            applySnapshot(1, false, document("r1", "ready"));
            applySnapshot(2, true);
            mState.applyChanges(version(3), List.of(document("r1", "ready")));
            mState.removeAbsentReplicas(Duration.ofSeconds(9).toNanos());
            assertThat(mRecorder.mReplicas).containsExactly("r1+");
        }
    }

    @Nested
    class EntriesOfOtherWriters {
        /** Guards against one odd entry that keeps the directory from being followed. */
        @Test
        void doNotHideTheOthers() {
            applySnapshot(
                    1,
                    false,
                    document("r1", "deep"),
                    document("r2", "ready"),
                    document("r3", "odd"),
                    document("r4", "ready"),
                    document("config", "7"));
            assertThat(mRecorder.mReplicas).containsExactly("r2+", "r4+");
            assertThat(mRecorder.mVersions).containsExactly(7L);
            mState.applyChanges(
                    version(2), List.of(document("r2", "deep"), document("r5", "ready")));
            assertThat(mRecorder.mReplicas).containsExactly("r4+", "r5+");
        }
    }
}
