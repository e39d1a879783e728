package io.persimmonreel.core.shutdown;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.core.admission.ShutdownTimes;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShutdownSequenceTest {
    private static final long REACTED_NANOS = 2_500;
    private static final long END_NANOS = 6_800;

    private final RecordingActions mActions = new RecordingActions();
    private final ShutdownSequence mSequence =
            new ShutdownSequence(new ShutdownTimes(REACTED_NANOS, END_NANOS), mActions);

    /** Records the steps; the listening socket closes when the test says so. */
    private static final class RecordingActions implements ShutdownActions {
        private final List<String> mSteps = new ArrayList<>();
        private boolean mListening = true;
        private boolean mBusy;

        @Override
        public void closeIdleConnections() {
            mSteps.add("close idle");
        }

        @Override
        public void stopListening(final CloseReason reason) {
            mSteps.add("stop listening, " + reason.label());
        }

        @Override
        public boolean isListening() {
            return mListening;
        }

        @Override
        public boolean isBusy() {
            return mBusy;
        }

        @Override
        public void failRemaining() {
            mSteps.add("fail remaining");
        }

        @Override
        public void end() {
            mSteps.add("end");
        }
    }

    private List<String> stepsAt(final long nowNanos) {
        mActions.mSteps.clear();
        mSequence.onTimer(nowNanos);
        return List.copyOf(mActions.mSteps);
    }

    @Test
    void rejectsNull() {
        assertThatThrownBy(() -> new ShutdownSequence(null, mActions))
                .isInstanceOf(NullPointerException.class)
                .hasMessage("times");
        assertThatThrownBy(() -> new ShutdownSequence(new ShutdownTimes(0, 1), null))
                .isInstanceOf(NullPointerException.class)
                .hasMessage("actions");
    }

    @Nested
    class BeforeLoadBalancersHaveReacted {
        @Test
        void keepsIdleConnectionsAndListens() {
            assertThat(stepsAt(REACTED_NANOS - 1)).isEmpty();
        }
    }

    @Nested
    class AfterLoadBalancersHaveReacted {
        @Test
        void listensWhileThereAreRequests() {
            mActions.mBusy = true;
            assertThat(stepsAt(REACTED_NANOS)).containsExactly("close idle");
        }

        /** Guards against an end of the process at which a request arrives and is cut off. */
        @Test
        void doesNotEndWhileConnectionsMayArrive() {
            assertThat(stepsAt(REACTED_NANOS))
                    .containsExactly("close idle", "stop listening, idle");
            assertThat(stepsAt(REACTED_NANOS + 1)).containsExactly("close idle");
            mActions.mListening = false;
            assertThat(stepsAt(REACTED_NANOS + 2)).containsExactly("close idle", "end");
        }

        @Test
        void finishesWhatArrivedBeforeTheSocketWasClosed() {
            stepsAt(REACTED_NANOS);
            mActions.mListening = false;
            mActions.mBusy = true;
            assertThat(stepsAt(REACTED_NANOS + 1)).containsExactly("close idle");
            mActions.mBusy = false;
            assertThat(stepsAt(REACTED_NANOS + 2)).containsExactly("close idle", "end");
        }

        @Test
        void endsOnce() {
            mActions.mListening = false;
            assertThat(stepsAt(REACTED_NANOS)).endsWith("end");
            assertThat(stepsAt(REACTED_NANOS + 1)).isEmpty();
            assertThat(stepsAt(END_NANOS)).isEmpty();
        }
    }

    @Nested
    class AfterTheGraceTime {
        @Test
        void failsWhatIsLeft() {
            mActions.mBusy = true;
            assertThat(stepsAt(END_NANOS))
                    .containsExactly("stop listening, time over", "fail remaining");
        }

        /** Guards against an end of the process before the last responses are sent. */
        @Test
        void endsOnceTheLastResponsesAreSent() {
            mActions.mBusy = true;
            stepsAt(END_NANOS);
            mActions.mListening = false;
            assertThat(stepsAt(END_NANOS + 1)).containsExactly("fail remaining");
            mActions.mBusy = false;
            assertThat(stepsAt(END_NANOS + 2)).containsExactly("fail remaining", "end");
        }

        @Test
        void closesTheSocketOnce() {
            stepsAt(REACTED_NANOS);
            assertThat(stepsAt(END_NANOS)).containsExactly("fail remaining");
        }
    }
}
