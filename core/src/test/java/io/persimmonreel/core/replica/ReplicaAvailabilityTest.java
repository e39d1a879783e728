package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaAvailabilityTest {
    private static final long START = Long.MAX_VALUE - nanos(500);
    private final ReplicaAvailability mAvailability = new ReplicaAvailability();

    private static long nanos(final long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Nested
    class PushBack {
        @Test
        void lastsUntilItsEnd() {
            assertThat(mAvailability.onPushBack(nanos(900), START)).isTrue();
            assertThat(mAvailability.waitMillis(START + nanos(300))).isEqualTo(600);
            assertThat(mAvailability.isPushedBack(START + nanos(899))).isTrue();
            assertThat(mAvailability.isPushedBack(START + nanos(900))).isFalse();
            assertThat(mAvailability.waitMillis(START + nanos(900))).isZero();
        }

        /** Requests that were under way come back with other times. */
        @Test
        void isNotShortenedByALaterResponse() {
            mAvailability.onPushBack(nanos(900), START);
            assertThat(mAvailability.onPushBack(nanos(100), START + nanos(50))).isFalse();
            assertThat(mAvailability.isPushedBack(START + nanos(800))).isTrue();
            assertThat(mAvailability.onPushBack(nanos(900), START + nanos(50))).isTrue();
            assertThat(mAvailability.isPushedBack(START + nanos(949))).isTrue();
        }

        @Test
        void ofNoTimeChangesNothing() {
            assertThat(mAvailability.onPushBack(0, START)).isFalse();
            assertThat(mAvailability.isPushedBack(START)).isFalse();
        }

        @Test
        void hasAnUpperBound() {
            mAvailability.onPushBack(Long.MAX_VALUE, START);
            assertThat(mAvailability.waitMillis(START))
                    .isEqualTo(ReplicaAvailability.LONGEST_PUSH_BACK_NANOS / 1e6);
        }
    }

    @Nested
    class Leaving {
        @Test
        void isALastResortForATime() {
            assertThat(mAvailability.onLeaving(nanos(1_000), START)).isTrue();
            assertThat(mAvailability.waitMillis(START)).isInfinite();
            assertThat(mAvailability.isLastResort(START + nanos(999))).isTrue();
            assertThat(mAvailability.isLastResort(START + nanos(1_000))).isFalse();
        }

        /** Each response of a leaving replica says so; the first one counts. */
        @Test
        void isCountedFromTheFirstResponse() {
            mAvailability.onLeaving(nanos(1_000), START);
            assertThat(mAvailability.onLeaving(nanos(1_000), START + nanos(800))).isFalse();
            assertThat(mAvailability.isLastResort(START + nanos(1_000))).isFalse();
        }

        @Test
        void isNoLastResortWhilePushedBack() {
            mAvailability.onLeaving(nanos(1_000), START);
            mAvailability.onPushBack(nanos(100), START);
            assertThat(mAvailability.isLastResort(START + nanos(99))).isFalse();
        }
    }

    @Nested
    class StatedTime {
        private long millis(final String... values) {
            return TimeUnit.NANOSECONDS.toMillis(PushBackTime.parseNanos(List.of(values)));
        }

        @Test
        void isReadInSeconds() {
            assertThat(millis("3")).isEqualTo(3_000);
            assertThat(millis(" 0.9 ")).isEqualTo(900);
            assertThat(millis(".5")).isEqualTo(500);
            assertThat(millis("0")).isZero();
        }

        @Test
        void isIgnoredIfItIsNoNumberOfSeconds() {
            assertThat(millis()).isZero();
            assertThat(millis("-3", "NaN", "1e3", "Infinity", "", "0x10")).isZero();
            assertThat(millis("Wed, 21 Oct 2026 07:28:00 GMT")).isZero();
        }

        @Test
        void isTheLongestOfSeveral() {
            assertThat(millis("1", "soon", "2")).isEqualTo(2_000);
        }

        @Test
        void isCutToTheLongestPushBack() {
            final long longest =
                    TimeUnit.NANOSECONDS.toMillis(ReplicaAvailability.LONGEST_PUSH_BACK_NANOS);
            assertThat(millis("999999999")).isEqualTo(longest);
            assertThat(millis("9".repeat(400))).isEqualTo(longest);
        }
    }
}
