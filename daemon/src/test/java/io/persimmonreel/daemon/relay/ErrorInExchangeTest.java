package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a call that an unexpected error leaves without a replica until its deadline. */
class ErrorInExchangeTest {
    private final VirtualRelay mRelay = new VirtualRelay();
    private VirtualCaller mCaller;

    private void dispatch(final VirtualRequest.Kind kind) {
        mRelay.advance(1);
        mRelay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
        mRelay.onReplicas(List.of(replica(0), replica(1)));
        mCaller = mRelay.newCaller();
        mCaller.add(mRelay.newRequest(kind), new SplittableRandom(1));
        while (mCaller.hasParts()) {
            mCaller.sendPart();
        }
        mRelay.settle();
        mRelay.endConnect(true, false);
        // The test plays the replica.
        replicaChannel().takeSent();
    }

    private static ReplicaEntry replica(final int number) {
        return new ReplicaEntry("r" + number, "app", "127.0.0.1", 1 + number, "zone", 2, false, 1);
    }

    private VirtualChannel replicaChannel() {
        return mRelay.replicaConnections().get(0).channel();
    }

    @Nested
    class OfOneCall {
        @Test
        void whileARefusalIsHandledEndsItAtOnce() {
            dispatch(VirtualRequest.Kind.LOOKUP);
            // The first call reads the response, the second one logs what it means.
            mRelay.faults().arm(2, true);
            replicaChannel()
                    .receive(
                            "HTTP/1.1 421 Misdirected\r\nPersimmonreel-Attempt: a0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            mRelay.settle();
            assertThat(mCaller.unanswered()).isZero();
            assertThat(mRelay.service().active()).isZero();
        }

        @Test
        void whileABreakIsHandledEndsItAtOnce() {
            dispatch(VirtualRequest.Kind.LOOKUP);
            mRelay.faults().arm(1, false);
            replicaChannel().reset();
            mRelay.settle();
            assertThat(mCaller.unanswered()).isZero();
            assertThat(mRelay.service().active()).isZero();
        }

        @Test
        void whileItsCallerLeavesEndsIt() {
            dispatch(VirtualRequest.Kind.NOTES);
            mRelay.faults().arm(1, false);
            mCaller.leave(true);
            mRelay.settle();
            assertThat(mRelay.service().active()).isZero();
        }
    }
}
