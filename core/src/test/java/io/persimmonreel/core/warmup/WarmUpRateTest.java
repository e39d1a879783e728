package io.persimmonreel.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WarmUpRateTest {
    @Nested
    class Rate {
        @Test
        void isThatOfTheReplicaIfTheBoundAllowsIt() {
            final WarmUpRate rate = WarmUpRate.of(new WarmUpBound(1.5, 5), 14);
            assertThat(rate.perSecond()).isEqualTo(14);
            assertThat(rate.senders()).isEqualTo(8);
        }

        /** Guards against a sum of burst and rate above the bound. */
        @ParameterizedTest
        @CsvSource({"1.5, 5, 14", "1.5, 5, 0.5", "1, 0, 14", "1, 1, 2", "2, 0, 100", "0, 5, 8"})
        void keepsTheSumWithinTheBound(
                final double overshoot, final double tolerance, final double perSecond) {
            final WarmUpBound bound = new WarmUpBound(overshoot, tolerance);
            final WarmUpRate rate = WarmUpRate.of(bound, perSecond);
            assertThat(rate.perSecond()).isPositive().isLessThanOrEqualTo(perSecond);
            assertThat(rate.senders() + rate.perSecond() * (1 + WarmUpRate.LATENCY_SECONDS))
                    .isLessThanOrEqualTo(bound.maximumPerSecond(perSecond) + 1e-9);
        }

        @Test
        void isZeroIfTheBoundAllowsNoRequest() {
            assertThat(WarmUpRate.of(new WarmUpBound(0.5, 0), 1)).isEqualTo(WarmUpRate.NONE);
        }
    }
}
