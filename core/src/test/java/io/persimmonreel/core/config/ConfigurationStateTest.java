package io.persimmonreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.ConfigurationState.OfferResult;
import io.persimmonreel.core.time.ManualTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {
    private final ConfigurationState mState = new ConfigurationState(new ManualTime(), r -> {});

    @Nested
    class Acceptance {
        /** Guards against a race of several sources that leaves an older text in force. */
        @Test
        void keepsTheHighestOfConcurrentVersions() throws Exception {
            final String text = ExampleTexts.load("song-hong");
            for (int round = 0; round < 100; round++) {
                final ConfigurationState state = new ConfigurationState(new ManualTime(), r -> {});
                final List<Long> applied = Collections.synchronizedList(new ArrayList<>());
                state.subscribe(c -> applied.add(c.version()));
                LongStream.rangeClosed(1, 4)
                        .parallel()
                        .forEach(v -> state.offer("service", v, text + "# " + v));
                assertThat(state.version()).isEqualTo(4);
                assertThat(applied).isSorted().doesNotHaveDuplicates().endsWith(4L);
            }
        }

        @Test
        void isReportedToLateListeners() throws Exception {
            mState.offer("service", 3, ExampleTexts.load("song-hong"));
            final List<Long> applied = new ArrayList<>();
            mState.subscribe(c -> applied.add(c.version()));
            assertThat(applied).containsExactly(3L);
        }
    }

    @Nested
    class Rejection {
        /** Guards against a rejected edit that blocks the corrected one. */
        @Test
        void doesNotBlockTheNextValidText() throws Exception {
            final String text = ExampleTexts.load("song-hong");
            assertThat(mState.offer("service", 3, "format: 1")).isEqualTo(OfferResult.REJECTED);
            assertThat(mState.isRejected(3, Digests.sha256Hex("format: 1"))).isTrue();
            assertThat(mState.offer("service", 2, text)).isEqualTo(OfferResult.ACCEPTED);
            assertThat(mState.offer("service", 4, text)).isEqualTo(OfferResult.ACCEPTED);
        }

        @Test
        void isRememberedInBoundedMemory() {
            LongStream.rangeClosed(1, 100).forEach(v -> mState.offer("service", v, "x: " + v));
            assertThat(mState.rejections()).hasSizeLessThanOrEqualTo(16);
            assertThat(mState.rejections().get(0).version()).isEqualTo(100);
        }
    }
}
