package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import io.persimmonreel.core.peer.StreamOrigin;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.stream.StreamKey;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when streams that callers take up get a slot while new ones keep all slots busy. */
class StreamTakeUpOrderTest {
    private static final long DEADLINE_MILLIS = 2_900;
    private static final double SERVICE_MILLIS = 500;
    private static final long STEP_MILLIS = 40;
    private static final int NEW_STREAMS = 12;
    private static final String UPSTREAM = "app";
    private static final String STREAM = "begun-elsewhere";

    private final VirtualRelay mRelay = new VirtualRelay();
    private final List<VirtualCaller> mNewStreams = new ArrayList<>();

    StreamTakeUpOrderTest() {
        mRelay.advance(1);
        mRelay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
        mRelay.onReplicas(List.of(entry(1), entry(2)));
        for (final Replica replica : mRelay.service().replicas().all()) {
            // One request runs and one waits, so that the replica takes no other one.
            replica.onSent(0);
            replica.onSent(0);
            replica.onServed(SERVICE_MILLIS);
        }
        mRelay.service()
                .takeUps()
                .onTransfer(
                        new Incarnation(1),
                        new StreamTransfer(
                                List.of(
                                        new StreamOrigin(
                                                StreamKey.of(UPSTREAM, STREAM), "v1", 100)),
                                List.of()),
                        mRelay.monotonicNanos());
    }

    private static ReplicaEntry entry(final int version) {
        return new ReplicaEntry(
                "r" + version,
                UPSTREAM,
                "127.0.0.1",
                version,
                "zone",
                1,
                false,
                1,
                0,
                "v" + version);
    }

    private void sendNewStreams() {
        for (int i = 0; i < NEW_STREAMS; i++) {
            final VirtualCaller caller = mRelay.newCaller();
            caller.send(mRelay.newRequest(VirtualRequest.Kind.DRAFT), DEADLINE_MILLIS);
            mNewStreams.add(caller);
        }
        mRelay.settle();
    }

    private VirtualRequest takeUp(final VirtualCaller caller) {
        final VirtualRequest request = mRelay.newRequest(VirtualRequest.Kind.DRAFT);
        caller.takeUp(request, DEADLINE_MILLIS, STREAM);
        mRelay.settle();
        return request;
    }

    /** Frees a slot of a version and returns the id of the request that gets it. */
    private String nextRequest(final int version) {
        final Replica replica = mRelay.service().replicas().find("r" + version).orElseThrow();
        replica.onEnded();
        replica.onEnded();
        mRelay.advance(STEP_MILLIS);
        assertThat(mRelay.connectingPort()).isEqualTo(version);
        mRelay.endConnect(true, false);
        final VirtualReplicaConnection connection = mRelay.replicaConnections().get(0);
        connection.channel().limitWrites(Integer.MAX_VALUE);
        mRelay.settle();
        return connection.lastRequest();
    }

    @Nested
    class ATakenUpStream {
        @Test
        void getsTheNextSlotOfItsVersionBeforeNewStreamsOfItsRank() {
            sendNewStreams();
            final VirtualRequest takeUp = takeUp(mRelay.newCaller());
            mRelay.advance(STEP_MILLIS);
            assertThat(nextRequest(1)).isEqualTo(takeUp.id());
        }

        @Test
        void isNotRefusedWhileASlotOfItsVersionCanBeInTime() {
            sendNewStreams();
            final VirtualCaller caller = mRelay.newCaller();
            final VirtualRequest takeUp = takeUp(caller);
            mRelay.advance(1_800);
            assertThat(caller.unanswered()).isEqualTo(1);
            assertThat(nextRequest(1)).isEqualTo(takeUp.id());
        }

        @Test
        void leavesTheSlotsOfOtherVersionsToNewStreams() {
            sendNewStreams();
            final VirtualRequest takeUp = takeUp(mRelay.newCaller());
            mRelay.advance(STEP_MILLIS);
            assertThat(nextRequest(2)).isNotEmpty().isNotEqualTo(takeUp.id());
        }

        @Test
        void doesNotKeepNewStreamsFromAnotherVersionIfManyWait() {
            for (int i = 0; i < NEW_STREAMS; i++) {
                takeUp(mRelay.newCaller());
            }
            mRelay.advance(STEP_MILLIS);
            sendNewStreams();
            assertThat(nextRequest(2)).isNotEmpty();
            assertThat(mNewStreams.stream().mapToInt(VirtualCaller::unanswered).sum()).isPositive();
        }

        @Test
        void isRefusedOnceNoSlotCanBeInTime() {
            final VirtualCaller caller = mRelay.newCaller();
            takeUp(caller);
            mRelay.advance(DEADLINE_MILLIS);
            assertThat(caller.unanswered()).isZero();
        }
    }
}
