package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShutdownAdmissionTest {
    private static final double TOKEN_MILLIS = 2;
    private final ShutdownAdmission mAdmission = new ShutdownAdmission();

    private static ResponseForecast stream(final int expectedTokens, final int maximumTokens) {
        return ResponseForecast.ofTokens(
                expectedTokens * TOKEN_MILLIS, expectedTokens, maximumTokens, TOKEN_MILLIS);
    }

    /** Returns the forecast of a response of which only the expected time is known. */
    private static ResponseForecast unlimited(final double expectedMillis) {
        return new ResponseForecast(expectedMillis, Double.POSITIVE_INFINITY);
    }

    @Nested
    class BeforeLoadBalancersHaveReacted {
        /**
         * A stream that would be cut off at the end of the process is better served by another
         * daemon.
         */
        @Test
        void refusesRequestThatWouldBeCutOff() {
            assertThat(mAdmission.accepts(unlimited(2_000), false, 4_000)).isFalse();
            assertThat(mAdmission.accepts(unlimited(50), false, 4_000)).isTrue();
            assertThat(mAdmission.accepts(unlimited(50), false, 300)).isFalse();
        }

        @Test
        void acceptsAStreamThatMostLikelyEndsInTime() {
            assertThat(mAdmission.accepts(stream(300, 3_000), false, 2_000)).isTrue();
        }

        @Test
        void refusesAStreamThatLikelyDoesNotEndInTime() {
            assertThat(mAdmission.accepts(stream(300, 3_000), false, 1_800)).isFalse();
        }
    }

    @Nested
    class AfterLoadBalancersHaveReacted {
        /** Guards against streams of the stated maximum length that are cut off at the end. */
        @Test
        void refusesAStreamWhoseStatedMaximumDoesNotFit() {
            assertThat(mAdmission.accepts(stream(300, 3_000), true, 6_400)).isFalse();
        }

        @Test
        void acceptsAStreamWhoseStatedMaximumFits() {
            assertThat(mAdmission.accepts(stream(300, 500), true, 2_000)).isTrue();
        }

        /** The replica may be slower than measured while the maximum is generated. */
        @Test
        void allowsForASlowerReplica() {
            assertThat(mAdmission.accepts(stream(500, 500), true, 1_400)).isFalse();
        }

        @Test
        void refusesAStreamWithoutAStatedMaximum() {
            assertThat(mAdmission.accepts(stream(10, 0), true, 60_000)).isFalse();
        }

        /** The deadline ends the request before the process does. */
        @Test
        void acceptsAStreamWhoseDeadlineFits() {
            assertThat(mAdmission.accepts(stream(10, 0).withDeadline(1_000), true, 1_400)).isTrue();
            assertThat(mAdmission.accepts(stream(10, 0).withDeadline(1_000), true, 1_300))
                    .isFalse();
        }

        @Test
        void allowsForAPlainRequestThatTakesLongerThanTheMean() {
            final ResponseForecast forecast = ResponseForecast.ofPlainService(50);
            assertThat(mAdmission.accepts(forecast, true, 800)).isTrue();
            assertThat(mAdmission.accepts(forecast, true, 790)).isFalse();
        }
    }
}
