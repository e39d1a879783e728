package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RateLimitedWaitTest {
    private final RateLimitedWait mWait = new RateLimitedWait();

    @Nested
    class AForecast {
        @Test
        void addsTheRatesOfAllReplicas() {
            mWait.add(300, 0.5);
            mWait.add(900, 0.5);
            assertThat(mWait.forecast(0).waitMillis()).isEqualTo(300);
            assertThat(mWait.forecast(2).waitMillis()).isEqualTo(2_300);
        }

        @Test
        void isInfiniteIfThisDaemonHasNoShare() {
            mWait.add(Double.POSITIVE_INFINITY, 0);
            assertThat(mWait.forecast(0).waitMillis()).isInfinite();
        }

        @Test
        void knowsWhenTheFirstPushBackEnds() {
            mWait.add(3_000, 0, 100);
            mWait.add(8_000, 0, 100);
            assertThat(mWait.forecast(0).closedMillis()).isEqualTo(3_000);
            mWait.add(0, 500, 2);
            assertThat(mWait.forecast(0).closedMillis()).isZero();
        }
    }

    @Nested
    class WithoutReplicas {
        @Test
        void isEmpty() {
            assertThat(mWait.isEmpty()).isTrue();
        }
    }
}
