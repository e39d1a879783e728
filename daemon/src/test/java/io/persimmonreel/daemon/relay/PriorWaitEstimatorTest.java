package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PriorWaitEstimatorTest {
    /** A deadline that is only slightly shorter than others must not count as a retry. */
    @Test
    void ignoresSlightlyShorterDeadlines() {
        assertThat(PriorWaitEstimator.priorWaitMillis(12_000, 10_000)).isZero();
        assertThat(PriorWaitEstimator.priorWaitMillis(12_000, 12_000)).isZero();
    }

    @Test
    void recognizesRetryingCallers() {
        assertThat(PriorWaitEstimator.priorWaitMillis(12_000, 8_000)).isEqualTo(4_000);
    }
}
