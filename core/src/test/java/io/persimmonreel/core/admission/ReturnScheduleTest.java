package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {
    private static final double INTERVAL_MILLIS = 50;

    private final ReturnSchedule mSchedule = new ReturnSchedule();

    private long delay(final double waitMillis, final double deadlineMillis) {
        return mSchedule.delayMillis(
                new PlaceForecast(waitMillis, INTERVAL_MILLIS, 0), deadlineMillis, 0);
    }

    @Nested
    class ARefusedCaller {
        @Test
        void returnsWhenASlotIsExpected() {
            assertThat(delay(700, 12_000)).isEqualTo(700);
        }

        /** Callers honour a return time only within a third of the time until their deadline. */
        @Test
        void returnsWithinTheTimeThatCallersHonour() {
            assertThat(delay(7_000, 3_000)).isEqualTo(1_000);
        }

        @Test
        void returnsAtOnceIfThereIsNothingToWaitFor() {
            assertThat(mSchedule.delayMillis(PlaceForecast.UNKNOWN, 3_000, 0)).isZero();
        }

        /** A caller that comes back before the end of a push-back would only be refused again. */
        @Test
        void doesNotReturnBeforeAReplicaTakesRequests() {
            final PlaceForecast place = new PlaceForecast(3_000, INTERVAL_MILLIS, 3_000);
            assertThat(mSchedule.delayMillis(place, 2_500, 0)).isEqualTo(3_000);
        }

        /** The end of an evacuation is not known, so the caller returns as late as it would. */
        @Test
        void returnsLateIfTheWaitIsIndefinite() {
            assertThat(mSchedule.delayMillis(PlaceForecast.INDEFINITE, 3_000, 0)).isEqualTo(1_000);
        }

        @Test
        void returnsLateIfThisDaemonHasNoShare() {
            final PlaceForecast place =
                    new PlaceForecast(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);
            assertThat(mSchedule.delayMillis(place, 3_000, 0)).isEqualTo(1_000);
        }
    }

    /** Callers that return at the same time would be refused again. */
    @Nested
    class SeveralRefusedCallers {
        @Test
        void returnOneAfterTheOther() {
            assertThat(delay(700, 12_000)).isEqualTo(700);
            assertThat(delay(700, 12_000)).isEqualTo(750);
            assertThat(delay(700, 12_000)).isEqualTo(800);
            assertThat(delay(900, 12_000)).isEqualTo(900);
        }

        /** Guards against a caller that returns at no expected slot and still keeps one. */
        @Test
        void areNotDelayedByOneThatMustReturnSooner() {
            delay(7_000, 3_000);
            assertThat(delay(700, 12_000)).isEqualTo(700);
        }

        @Test
        void areForgottenWhenTheyHaveReturned() {
            delay(700, 12_000);
            final long afterReturn = 1_000_000_000L;
            assertThat(
                            mSchedule.delayMillis(
                                    new PlaceForecast(10, INTERVAL_MILLIS, 0), 12_000, afterReturn))
                    .isEqualTo(10);
        }
    }
}
