package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.peer.PeerMessage.DirectoryRequest;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers evacuations as a part of the state of the directory. */
class ZoneEvacuationsTest {
    private final VirtualTimers mTimers = new VirtualTimers();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final EventLog mLog = new EventLog("test", mTimers, new PrintStream(mOutput, true));
    private final Recorder mRecorder = new Recorder();
    private final DirectoryState mState = new DirectoryState(new Format(), mRecorder, mLog);

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    /** Reads replicas "rN", a configuration "config" and evacuations "out/ZONE". */
    private static final class Format extends TestFormat {
        @Override
        public Optional<String> evacuatedZone(final String name) {
            return name.startsWith("out/") ? Optional.of(name.substring(4)) : Optional.empty();
        }

        @Override
        public RelayConfiguration readConfiguration(final String name, final byte[] content) {
            return configuration(7);
        }

        @Override
        public ReplicaEntry readReplica(final String name, final byte[] content) {
            return new ReplicaEntry(name, "app", "10.0.0.1", 80, "z1", 4, false, 1);
        }
    }

    /** Records what the state reports, in order. */
    private static final class Recorder implements DirectoryListener {
        private final List<String> mReports = new ArrayList<>();

        @Override
        public void onConfiguration(final RelayConfiguration configuration) {
            mReports.add("config");
        }

        @Override
        public void onReplicas(final Collection<ReplicaEntry> entries) {
            mReports.add("replicas");
        }

        @Override
        public void onEvacuatedZones(final Set<String> zones) {
            mReports.add(zones.toString());
        }
    }

    private static Document document(final String name, final String content) {
        return new Document(
                name, Optional.ofNullable(content).map(c -> c.getBytes(StandardCharsets.UTF_8)));
    }

    private void applySnapshot(final long revision, final Document... documents) {
        mState.applySnapshot(new DirectoryVersion(0, revision), List.of(documents), false, 0);
    }

    private DirectoryCopy copy(final long configVersion) {
        return mState.copyFor(new DirectoryRequest(DirectoryVersion.NONE, configVersion, 0))
                .orElseThrow();
    }

    private void applyChanges(final long revision, final Document... documents) {
        mState.applyChanges(new DirectoryVersion(0, revision), List.of(documents));
    }

    @Nested
    class Changes {
        @Test
        void beginAndEndAnEvacuation() {
            applyChanges(1, document("out/z1", "{}"));
            applyChanges(2, document("out/z2", "{}"));
            applyChanges(3, document("out/z1", null));
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[z1, z2]", "[z2]");
            mLog.close();
            assertThat(mOutput.toString(StandardCharsets.UTF_8))
                    .contains("\"event\":\"evacuated\"", "\"event\":\"taken-back\"");
        }

        /** The operator writes the document again if the acknowledgement of a write is lost. */
        @Test
        void mayWriteTheDocumentTwice() {
            applyChanges(1, document("out/z1", "{}"));
            applyChanges(2, document("out/z1", "{}"));
            assertThat(mRecorder.mReports).containsExactly("[z1]");
            applyChanges(3, document("out/z1", null));
            applyChanges(4, document("out/z1", null));
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[]");
        }

        /** One response of a watch may have several changes of a document; the last one holds. */
        @Test
        void areAppliedInTheirOrder() {
            applyChanges(1, document("out/z1", "{}"), document("out/z1", null));
            assertThat(mRecorder.mReports).isEmpty();
            applyChanges(2, document("out/z1", null), document("out/z1", "{}"));
            assertThat(mRecorder.mReports).containsExactly("[z1]");
        }

        /** The content means nothing, so an unreadable one must not send requests to the zone. */
        @Test
        void countWhateverTheContentIs() {
            applyChanges(1, document("out/z1", ""));
            assertThat(mRecorder.mReports).containsExactly("[z1]");
        }

        /** A late response would otherwise begin an evacuation that is over. */
        @Test
        void ofAnOlderRevisionAreIgnored() {
            applySnapshot(5);
            applyChanges(4, document("out/z1", "{}"));
            assertThat(mRecorder.mReports).isEmpty();
        }
    }

    @Nested
    class Snapshots {
        /** Requests are placed as soon as replicas or a configuration are reported. */
        @Test
        void reportAnEvacuationBeforeReplicasAndConfiguration() {
            applySnapshot(
                    1, document("r1", "x"), document("config", "x"), document("out/z1", "{}"));
            assertThat(mRecorder.mReports).containsExactly("[z1]", "replicas", "config");
        }

        /** A replica of the zone may be draining or gone by the same snapshot. */
        @Test
        void reportTheEndAfterTheReplicas() {
            applySnapshot(1, document("out/z1", "{}"), document("r1", "x"));
            applySnapshot(2, document("r2", "x"));
            assertThat(mRecorder.mReports).containsExactly("[z1]", "replicas", "replicas", "[]");
        }

        @Test
        void replaceOneEvacuationByAnotherWithoutAGap() {
            applySnapshot(1, document("out/z1", "{}"));
            applySnapshot(2, document("out/z2", "{}"));
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[z1, z2]", "[z2]");
        }

        @Test
        void withoutEvacuationsReportNone() {
            applySnapshot(1, document("r1", "x"));
            assertThat(mRecorder.mReports).containsExactly("replicas");
        }
    }

    @Nested
    class CopiesForPeers {
        /** Never answers, like a directory that can't be reached. */
        private final DirectorySource mUnreachable =
                new DirectorySource() {
                    @Override
                    public void readAll(final Listener listener) {}

                    @Override
                    public void watch(
                            final long afterRevision,
                            final long waitMillis,
                            final Listener listener) {}

                    @Override
                    public void readHistory(final long revision, final Listener listener) {
                        listener.onFailure("no history");
                    }

                    @Override
                    public void readVersion(final Listener listener) {}
                };

        private final Recorder mPeerRecorder = new Recorder();
        private final DirectoryState mPeerState =
                new DirectoryState(new Format(), mPeerRecorder, mLog);

        private DirectoryWatch startPeer() {
            final DirectoryWatch watch =
                    new DirectoryWatch(
                            mUnreachable,
                            mPeerState,
                            mTimers,
                            mTimers,
                            DirectoryTimings.within(Duration.ofSeconds(2), Duration.ofSeconds(3)),
                            mLog,
                            1);
            watch.start();
            return watch;
        }

        @Test
        void haveTheEvacuationsInForce() {
            applySnapshot(1, document("out/z1", "{}"), document("out/z2", "{}"));
            applyChanges(2, document("out/z1", null));
            final DirectoryCopy copy = copy(7);
            assertThat(copy.names()).containsExactly("out/z2");
            assertThat(copy.contents()).hasSize(1);
        }

        /** Covers a daemon that starts during an evacuation and can't reach the directory. */
        @Test
        void bringAnEvacuationBeforeTheReplicas() {
            applySnapshot(
                    3, document("r1", "x"), document("config", "x"), document("out/z1", "{}"));
            startPeer().onCopy(copy(0));
            assertThat(mPeerRecorder.mReports).containsExactly("[z1]", "replicas", "config");
        }

        /** Covers a daemon that is cut off from the directory during the evacuation. */
        @Test
        void bringTheBeginAndTheEnd() {
            final DirectoryWatch peer = startPeer();
            applySnapshot(1, document("out/z1", "{}"));
            peer.onCopy(copy(7));
            applyChanges(2, document("out/z1", null));
            peer.onCopy(copy(7));
            assertThat(mPeerRecorder.mReports).containsExactly("[z1]", "[]");
        }
    }

    /** Covers a directory that is restored from a copy and has lost its last writes. */
    @Nested
    class ARestoredDirectory {
        private static final long BEFORE_NANOS = 4_900_000_000L;
        private static final long AFTER_NANOS = 5_000_000_000L;

        private final ZoneEvacuations mEvacuations =
                new ZoneEvacuations(new Format(), mRecorder, mLog);

        private void snapshot(final String... zones) {
            final List<Document> documents = new ArrayList<>();
            for (final String zone : zones) {
                documents.add(document("out/" + zone, "{}"));
            }
            final Set<String> present = new HashSet<>();
            documents.forEach(document -> present.add(document.name()));
            mEvacuations.beginPresent(documents, 1);
            mEvacuations.endAbsent(present, 1);
        }

        private void change(final String zone, final String content) {
            final List<Document> documents = List.of(document("out/" + zone, content));
            mEvacuations.beginWritten(documents, 1);
            mEvacuations.endRemoved(documents, 1);
        }

        private void settle(final long nowNanos) {
            mEvacuations.settle(1, nowNanos);
        }

        private List<String> copiedNames() {
            final List<String> names = new ArrayList<>();
            mEvacuations.copyTo(names, new ArrayList<>());
            return names;
        }

        /** The write of the evacuation is lost, and the operator repeats it. */
        @Test
        void keepsAnEvacuationThatIsWrittenAgain() {
            change("z1", "{}");
            mEvacuations.onRestored(0);
            snapshot();
            settle(BEFORE_NANOS);
            change("z1", "{}");
            settle(AFTER_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]");
            assertThat(copiedNames()).containsExactly("out/z1");
        }

        @Test
        void endsAnEvacuationThatIsNotWrittenAgain() {
            change("z1", "{}");
            mEvacuations.onRestored(0);
            snapshot();
            settle(BEFORE_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]");
            settle(AFTER_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[]");
        }

        /** The removal is lost, and the operator repeats it. */
        @Test
        void doesNotBringBackAnEvacuationThatIsRemovedAgain() {
            change("z1", "{}");
            change("z1", null);
            mEvacuations.onRestored(0);
            snapshot("z1");
            settle(BEFORE_NANOS);
            change("z1", null);
            settle(AFTER_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[]");
        }

        @Test
        void bringsBackAnEvacuationThatStays() {
            change("z1", "{}");
            change("z1", null);
            mEvacuations.onRestored(0);
            snapshot("z1");
            settle(BEFORE_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[]");
            settle(AFTER_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[]", "[z1]");
        }

        /** What is written or removed after the restore is not what the restore has lost. */
        @Test
        void followsChangesAtOnce() {
            change("z1", "{}");
            change("z1", null);
            change("z2", "{}");
            mEvacuations.onRestored(0);
            snapshot("z1", "z2");
            change("z1", "{}");
            change("z2", null);
            assertThat(mRecorder.mReports)
                    .containsExactly("[z1]", "[]", "[z2]", "[z1, z2]", "[z1]");
        }

        /** An evacuation that this daemon has not known is in force at once, to be safe. */
        @Test
        void bringsAnUnknownEvacuationAtOnce() {
            mEvacuations.onRestored(0);
            snapshot("z1");
            assertThat(mRecorder.mReports).containsExactly("[z1]");
        }

        /** The operator has the whole time after the last restore. */
        @Test
        void thatIsRestoredAgainWaitsAnew() {
            change("z1", "{}");
            change("z2", "{}");
            change("z2", null);
            mEvacuations.onRestored(0);
            snapshot("z2");
            mEvacuations.onRestored(BEFORE_NANOS);
            snapshot("z2");
            settle(AFTER_NANOS);
            settle(BEFORE_NANOS + BEFORE_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[z1, z2]", "[z1]");
            settle(BEFORE_NANOS + AFTER_NANOS);
            assertThat(mRecorder.mReports).last().isEqualTo("[z2]");
        }

        /** A deferred evacuation may be gone from a later snapshot instead of by a change. */
        @Test
        void forgetsADeferredEvacuationThatALaterSnapshotLacks() {
            change("z1", "{}");
            change("z1", null);
            mEvacuations.onRestored(0);
            snapshot("z1");
            snapshot();
            settle(AFTER_NANOS);
            assertThat(mRecorder.mReports).containsExactly("[z1]", "[]");
        }

        /** A peer holds and defers by what it knows itself. */
        @Test
        void isCopiedToPeersAsItIs() {
            change("z1", "{}");
            change("z2", "{}");
            change("z2", null);
            mEvacuations.onRestored(0);
            snapshot("z2");
            assertThat(copiedNames()).containsExactly("out/z2");
        }
    }
}
