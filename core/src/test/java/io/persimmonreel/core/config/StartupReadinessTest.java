package io.persimmonreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.time.ManualTime;
import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StartupReadinessTest {
    private final ManualTime mTime = new ManualTime();
    private final ConfigurationState mState = new ConfigurationState(mTime, r -> {});
    private final StartupReadiness mStartup = new StartupReadiness(mTime, mState);

    private void offer(final long version) throws Exception {
        mState.offer("service", version, ExampleTexts.load("song-hong") + "# " + version);
    }

    @Nested
    class Waiting {
        @Test
        void namesTheFailedServiceAndTheRejectedText() {
            mStartup.serviceFailed("connection refused");
            mState.offer("service", 1, "format: 3");
            assertThat(mStartup.isReady()).isFalse();
            assertThat(mStartup.waitingFor())
                    .singleElement()
                    .asString()
                    .contains("connection refused", "Version 1 was rejected: service:1: format");
        }

        /** Guards against a daemon that serves requests by an older version than its peers. */
        @Test
        void lastsUntilTheHighestVersionOfPeersIsAccepted() throws Exception {
            mStartup.expectPeer("10.0.0.1:7000");
            mStartup.heardPeer("10.0.0.1:7000", 5, "d");
            offer(4);
            assertThat(mStartup.waitingFor())
                    .containsExactly("Waits for configuration version 5 from peer 10.0.0.1:7000.");
            offer(5);
            assertThat(mStartup.isReady()).isTrue();
        }

        /** Guards against waiting forever for a version that only a dead peer had. */
        @Test
        void endsWhenThePeerIsLost() throws Exception {
            mStartup.heardPeer("10.0.0.1:7000", 5, "d");
            offer(4);
            assertThat(mStartup.isReady()).isFalse();
            mStartup.lostPeer("10.0.0.1:7000");
            assertThat(mStartup.isReady()).isTrue();
        }

        @Test
        void forSilentPeersEndsAfterTheListeningTime() throws Exception {
            mStartup.expectPeer("10.0.0.1:7000");
            offer(4);
            mTime.advance(Duration.ofMillis(1_500));
            assertThat(mStartup.waitingFor()).singleElement().asString().contains("500 ms more");
            mTime.advance(Duration.ofMillis(500));
            assertThat(mStartup.isReady()).isTrue();
        }

        @Test
        void lastsWhileAnEngineReportsAHigherFence() throws Exception {
            mState.noteFence(6);
            offer(4);
            assertThat(mStartup.isReady()).isFalse();
            assertThat(mState.higherFence()).hasValue(6);
            offer(6);
            assertThat(mStartup.isReady()).isTrue();
            assertThat(mState.higherFence()).isEmpty();
        }
    }

    @Nested
    class Watchers {
        /** Guards against a rate of watches that grows with the fleet. */
        @Test
        void areThreeAtAnySize() {
            for (final int size : new int[] {1, 2, 3, 7, 880}) {
                final List<Incarnation> live =
                        LongStream.range(0, size).mapToObj(Incarnation::new).toList();
                assertThat(live.stream().filter(m -> WatcherChoice.isWatcher(m, live)).count())
                        .isEqualTo(Math.min(size, WatcherChoice.WATCHER_COUNT));
            }
        }
    }
}
