package io.persimmonreel.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class StreamExchangeTest {
    private static final String UPSTREAM = "llm";
    private static final long AGE_MILLIS = 5_000;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Is longer than a stream can live and a replica can linger. */
    private static final long MATURE_MILLIS = 60_000;

    private final List<Daemon> mDaemons = new ArrayList<>();
    private long mNowMillis = 1_000;

    /** Runs one exchange; a directory that does not respond confirms nothing. */
    private final class Daemon implements StreamRouting, StreamExchange.Listener<String> {
        private final Incarnation mIncarnation = new Incarnation(mDaemons.size() + 1);
        private final StreamVersions mVersions = new StreamVersions();
        private final StreamExchange<String> mExchange =
                new StreamExchange<>(mVersions, this, this);
        private final List<LongConsumer> mConfirmations = new ArrayList<>();
        private final Map<String, String> mOutcomes = new HashMap<>();
        private final List<Daemon> mHolders = new ArrayList<>();
        private final List<Daemon> mLeaves = new ArrayList<>();
        private boolean mIsCutOff;
        private boolean mIsAnyCutOff;
        private int mSent;

        Daemon() {
            mDaemons.add(this);
            mVersions.software().onSnapshot(now(), mNowMillis);
        }

        void inService(final String... versions) {
            final List<ReplicaEntry> entries = new ArrayList<>();
            for (final String version : versions) {
                final long startedMillis = version.equals("v1") ? 1 : mNowMillis;
                entries.add(
                        new ReplicaEntry(
                                version,
                                UPSTREAM,
                                "10.0.0.1",
                                80,
                                "z",
                                4,
                                false,
                                startedMillis,
                                0,
                                version));
            }
            entries.forEach(mVersions.software()::onEntry);
            mVersions.software().onReplicas(entries, now(), mNowMillis);
            mVersions.software().onCurrent(now(), mNowMillis);
        }

        /** Returns an attempt whose stream begins at a version now. */
        String attemptAt(final String version) {
            return Stream.iterate(0, i -> i + 1)
                    .map(i -> "attempt" + i)
                    .filter(id -> assigned(id).equals(Optional.of(version)))
                    .findFirst()
                    .orElseThrow();
        }

        private Optional<String> assigned(final String attempt) {
            return mVersions.software().assigned(UPSTREAM, StreamKey.of(UPSTREAM, attempt));
        }

        void begun(final String attempt, final String version) {
            mExchange.onBegun(UPSTREAM, attempt, version, now());
        }

        void takeUp(final String request, final String attempt) {
            mExchange.begin(request, UPSTREAM, attempt, AGE_MILLIS, now());
        }

        @Override
        public Collection<Incarnation> holders(final long stream) {
            return mHolders.stream().map(daemon -> daemon.mIncarnation).toList();
        }

        @Override
        public boolean isForwardedFor(final Incarnation peer) {
            return mLeaves.stream().anyMatch(leaf -> leaf.mIncarnation.equals(peer));
        }

        @Override
        public void send(final Incarnation peer, final StreamTransfer transfer) {
            mSent++;
            mDaemons.stream()
                    .filter(daemon -> daemon.mIncarnation.equals(peer) && !mIsCutOff)
                    .forEach(daemon -> daemon.mExchange.onTransfer(mIncarnation, transfer, now()));
        }

        @Override
        public void confirm(final LongConsumer onConfirmed) {
            mConfirmations.add(onConfirmed);
        }

        @Override
        public boolean isAnyCutOff() {
            return mIsAnyCutOff;
        }

        @Override
        public void requestFlush() {}

        @Override
        public void onVersion(final String request, final String version) {
            mOutcomes.put(request, version);
        }

        @Override
        public void onUnknown(final String request, final boolean confirmed) {
            mOutcomes.put(request, confirmed ? "unknown" : "unconfirmed");
        }
    }

    private long now() {
        return mNowMillis * MILLI;
    }

    private void pass(final long millis) {
        mNowMillis += millis;
        mDaemons.forEach(daemon -> daemon.mExchange.onTimer(now()));
    }

    /** Delivers all messages between daemons. */
    private void deliver() {
        for (int round = 0; round < 6; round++) {
            mDaemons.forEach(daemon -> daemon.mExchange.flush(now()));
        }
    }

    private void confirm(final Daemon daemon) {
        final List<LongConsumer> waiting = List.copyOf(daemon.mConfirmations);
        daemon.mConfirmations.clear();
        daemon.mVersions.software().onCurrent(now(), mNowMillis);
        waiting.forEach(confirmation -> confirmation.accept(now()));
    }

    private Daemon[] mesh(final int count) {
        final Daemon[] daemons = new Daemon[count];
        for (int i = 0; i < count; i++) {
            daemons[i] = new Daemon();
            daemons[i].inService("v1");
        }
        for (final Daemon daemon : daemons) {
            for (final Daemon other : daemons) {
                if (other != daemon) {
                    daemon.mHolders.add(other);
                }
            }
        }
        return daemons;
    }

    private void mature(final Daemon... daemons) {
        mNowMillis += MATURE_MILLIS;
        for (final Daemon daemon : daemons) {
            daemon.mVersions.software().onCurrent(now(), mNowMillis);
        }
    }

    @Nested
    class WhileThereIsOneVersion {
        @Test
        void nothingIsTold() {
            final Daemon[] daemons = mesh(2);
            mature(daemons);
            daemons[0].begun("a", "v1");
            deliver();
            assertThat(daemons[0].mSent).isZero();
        }

        @Test
        void streamsGoOnOnceTheDirectoryHasConfirmedTheView() {
            final Daemon[] daemons = mesh(2);
            mature(daemons);
            daemons[1].takeUp("b", "a");
            assertThat(daemons[1].mOutcomes).isEmpty();
            confirm(daemons[1]);
            assertThat(daemons[1].mOutcomes).containsEntry("b", "v1");
        }

        /** Guards against a join through a daemon that has not heard of a new version. */
        @Test
        void aDaemonThatIsCutOffRefusesStreams() {
            final Daemon[] daemons = mesh(2);
            mature(daemons);
            daemons[1].mIsCutOff = true;
            daemons[1].takeUp("b", "a");
            pass(1_000);
            assertThat(daemons[1].mOutcomes).containsEntry("b", "unconfirmed");
        }

        /** Guards against a join at a daemon that stood still while a new version came. */
        @Test
        void theViewIsReadAgainBeforeAStreamGoesOn() {
            final Daemon[] daemons = mesh(1);
            mature(daemons);
            final Daemon other = new Daemon();
            other.inService("v1", "v2");
            daemons[0].takeUp("b", other.attemptAt("v2"));
            daemons[0].inService("v1", "v2");
            confirm(daemons[0]);
            pass(200);
            assertThat(daemons[0].mOutcomes).containsEntry("b", "unknown");
        }

        @Test
        void aDaemonThatHasJustStartedAsksItsPeers() {
            final Daemon[] daemons = mesh(2);
            mature(daemons);
            final Daemon started = new Daemon();
            started.inService("v1");
            started.mHolders.add(daemons[0]);
            started.takeUp("b", "a");
            deliver();
            confirm(started);
            assertThat(started.mOutcomes).isEmpty();
            confirm(daemons[0]);
            deliver();
            assertThat(started.mOutcomes).containsEntry("b", "v1");
        }

        @Test
        void aDaemonThatHasJustStartedRefusesStreamsThatNoPeerKnows() {
            final Daemon[] daemons = mesh(2);
            daemons[0].takeUp("b", "a");
            deliver();
            confirm(daemons[0]);
            confirm(daemons[1]);
            pass(200);
            assertThat(daemons[0].mOutcomes).containsEntry("b", "unknown");
        }

        @Test
        void aStreamThatNamesNoAttemptGoesOn() {
            final Daemon[] daemons = mesh(1);
            mature(daemons);
            daemons[0].takeUp("b", null);
            confirm(daemons[0]);
            assertThat(daemons[0].mOutcomes).containsEntry("b", "v1");
        }
    }

    @Nested
    class WhileThereAreTwoVersions {
        private final Daemon[] mMesh = mesh(3);

        WhileThereAreTwoVersions() {
            mature(mMesh);
            for (final Daemon daemon : mMesh) {
                daemon.inService("v1", "v2");
            }
        }

        @Test
        void allPeersAreTold() {
            mMesh[0].begun("a", "v2");
            deliver();
            mMesh[2].takeUp("b", "a");
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "v2");
        }

        @Test
        void aPeerThatWasNotToldAsks() {
            mMesh[0].mIsCutOff = true;
            mMesh[0].begun("a", "v2");
            deliver();
            mMesh[0].mIsCutOff = false;
            mMesh[2].takeUp("b", "a");
            deliver();
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "v2");
        }

        /** Guards against a question that is lost while connections to peers are opened anew. */
        @Test
        void aPeerThatIsHeardLaterIsAsked() {
            mMesh[0].mIsCutOff = true;
            final String attempt = mMesh[0].attemptAt("v2");
            mMesh[0].begun(attempt, "v2");
            deliver();
            mMesh[2].mIsCutOff = true;
            mMesh[2].takeUp("b", attempt);
            confirm(mMesh[2]);
            deliver();
            mMesh[0].mIsCutOff = false;
            mMesh[2].mIsCutOff = false;
            pass(60);
            deliver();
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "v2");
        }

        /** Guards against a guess where the daemon that began the stream is gone. */
        @Test
        void aStreamThatNobodyKnowsIsRefused() {
            mMesh[2].takeUp("b", mMesh[2].attemptAt("v2"));
            deliver();
            confirm(mMesh[2]);
            pass(199);
            assertThat(mMesh[2].mOutcomes).isEmpty();
            pass(1);
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "unknown");
        }

        /**
         * Guards against an inference that comes before the record of a daemon behind the others.
         */
        @Test
        void aRecordGoesBeforeAnInference() {
            final String attempt = mMesh[2].attemptAt("v1");
            mMesh[0].mIsCutOff = true;
            mMesh[0].begun(attempt, "v2");
            deliver();
            mMesh[0].mIsCutOff = false;
            mMesh[2].takeUp("b", attempt);
            confirm(mMesh[2]);
            deliver();
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "v2");
        }

        /** Guards against refusals after all daemons were killed at once. */
        @Test
        void aStreamGoesOnIfItsReplicaWasReadyAllTheTime() {
            mMesh[2].takeUp("b", mMesh[2].attemptAt("v1"));
            confirm(mMesh[2]);
            pass(200);
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "v1");
        }

        @Test
        void aStreamThatNamesNoAttemptIsRefusedAtOnce() {
            mMesh[2].takeUp("b", null);
            confirm(mMesh[2]);
            assertThat(mMesh[2].mOutcomes).containsEntry("b", "unknown");
        }

        @Test
        void aRequestThatEndedIsNotDecided() {
            mMesh[2].takeUp("b", "a");
            mMesh[2].mExchange.remove("b");
            pass(1_000);
            assertThat(mMesh[2].mOutcomes).isEmpty();
        }
    }

    @Nested
    class WhenTheRouteMoves {
        private static final String NEXT = "llm2";

        private void serve(final Daemon daemon) {
            final ReplicaEntry old = entry("a", UPSTREAM, "v1");
            final ReplicaEntry next = entry("b", NEXT, "v2");
            daemon.mVersions.software().onEntry(next);
            daemon.mVersions.software().onReplicas(List.of(old, next), now(), mNowMillis);
            daemon.mVersions.software().onCurrent(now(), mNowMillis);
        }

        private ReplicaEntry entry(final String id, final String upstream, final String version) {
            return new ReplicaEntry(
                    id, upstream, "10.0.0.1", 80, "z", 4, false, mNowMillis, 0, version);
        }

        /** Guards against a join at the only version of the upstream that a route moved to. */
        @Tag("known-red")
        @Test
        void aStreamDoesNotGoOnAtAnUpstreamThatDidNotBeginIt() {
            final Daemon daemon = mesh(1)[0];
            serve(daemon);
            mature(daemon);
            daemon.begun("a", "v1");
            daemon.mExchange.begin("b", NEXT, "a", AGE_MILLIS, now());
            confirm(daemon);
            pass(MATURE_MILLIS);
            assertThat(daemon.mOutcomes).doesNotContainEntry("b", "v2");
        }
    }

    @Nested
    class InALargeFleet {
        private final Daemon mHome = new Daemon();
        private final Daemon mFirstHub = new Daemon();
        private final Daemon mSecondHub = new Daemon();
        private final Daemon mFirstLeaf = new Daemon();
        private final Daemon mSecondLeaf = new Daemon();

        InALargeFleet() {
            mFirstHub.mHolders.add(mHome);
            mSecondHub.mHolders.add(mHome);
            mFirstLeaf.mHolders.add(mFirstHub);
            mSecondLeaf.mHolders.add(mSecondHub);
            mFirstHub.mLeaves.add(mFirstLeaf);
            mSecondHub.mLeaves.add(mSecondLeaf);
            mDaemons.forEach(daemon -> daemon.inService("v1", "v2"));
        }

        @Test
        void aLeafOfAnotherHubLearnsTheOrigin() {
            mFirstLeaf.begun("a", "v2");
            deliver();
            mSecondLeaf.takeUp("b", "a");
            deliver();
            assertThat(mSecondLeaf.mOutcomes).containsEntry("b", "v2");
        }

        @Test
        void anOriginIsPassedOnOnceAtMost() {
            mHome.mHolders.add(mFirstHub);
            mFirstLeaf.begun("a", "v2");
            deliver();
            assertThat(mFirstLeaf.mSent + mFirstHub.mSent + mHome.mSent).isEqualTo(2);
        }
    }

    @Nested
    class Origins {
        @Test
        void areForgottenAfterTheirTime() {
            final Daemon[] daemons = mesh(1);
            daemons[0].begun("a", "v1");
            pass(61_000);
            assertThat(daemons[0].mVersions.origins().size()).isZero();
        }

        @Test
        void areBoundedInNumber() {
            final StreamOrigins origins = new StreamOrigins();
            for (int i = 0; i <= StreamOrigins.MAXIMUM_STREAMS; i++) {
                origins.record(i, new StreamOrigins.Origin("v1", 0));
            }
            assertThat(origins.size()).isEqualTo(StreamOrigins.MAXIMUM_STREAMS);
            assertThat(origins.find(0)).isEmpty();
        }
    }
}
