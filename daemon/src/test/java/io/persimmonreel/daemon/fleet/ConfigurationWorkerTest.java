package io.persimmonreel.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.ConfigurationExchange;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.config.ExampleTexts;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationWorkerTest {
    private final SystemTimeSource mTime = new SystemTimeSource();
    private final ConfigurationState mState = new ConfigurationState(mTime, r -> {});
    private final ConfigurationExchange mExchange =
            new ConfigurationExchange(mState, (to, message) -> {}, mTime, r -> {});
    private final BlockingQueue<Long> mAcceptedVersions = new LinkedBlockingQueue<>();
    private final CountDownLatch mReleaseListener = new CountDownLatch(1);
    private final ConfigurationWorker mWorker = new ConfigurationWorker(mState, mExchange);
    private String mOperatorText;

    @BeforeEach
    void subscribe() throws Exception {
        mOperatorText = ExampleTexts.load("saaf-paws");
        final Thread caller = Thread.currentThread();
        mState.subscribe(
                configuration -> {
                    assertThat(Thread.currentThread()).isNotSameAs(caller);
                    mAcceptedVersions.add(configuration.version());
                    try {
                        mReleaseListener.await(20, TimeUnit.SECONDS);
                    } catch (final InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        mWorker.offerText("service", 1, mOperatorText);
        assertThat(mAcceptedVersions.poll(20, TimeUnit.SECONDS)).isEqualTo(1);
    }

    @AfterEach
    void close() {
        mReleaseListener.countDown();
        mWorker.close();
    }

    @Nested
    class WhileAVersionIsHandled {
        /** Guards against outdated texts that wait in the queue and delay the newest one. */
        @Test
        void onlyTheNewestTextIsKept() throws Exception {
            for (final long version : List.of(2L, 4L, 3L)) {
                mWorker.offerText("service", version, mOperatorText);
            }
            mReleaseListener.countDown();
            assertThat(mAcceptedVersions.poll(20, TimeUnit.SECONDS)).isEqualTo(4);
            assertThat(mWorker.newestOfferedVersion()).isEqualTo(4);
        }

        /**
         * Guards against a peer that fills the memory with parts, and against rejecting newer parts
         * for lack of space.
         */
        @Test
        void partsOfOlderVersionsAreDroppedForNewerOnes() {
            for (int i = 0; i < ConfigurationWorker.MAXIMUM_WAITING_PARTS; i++) {
                assertThat(mWorker.offerPart(new Incarnation(1), part(2, i))).isTrue();
            }
            assertThat(mWorker.offerPart(new Incarnation(1), part(2, 0))).isFalse();
            assertThat(mWorker.offerPart(new Incarnation(1), part(3, 0))).isTrue();
        }

        private ConfigPart part(final long version, final int index) {
            return new ConfigPart(version, "d", "", index, 64, new byte[0]);
        }
    }
}
