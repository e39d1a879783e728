package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QueuePositionTest {
    private static final RunForecast RUN = new RunForecast(100, 1_000);

    private static QueuePosition position(
            final double objectiveMillis, final double deadlineMillis, final int rank) {
        return QueuePosition.of(
                new TimeLeft(objectiveMillis, deadlineMillis, deadlineMillis), RUN, rank);
    }

    @Nested
    class ARequestThatCanBeOnTime {
        @Test
        void comesBeforeLateOnes() {
            assertThat(position(150, 15_000, 2)).isLessThan(position(99, 1_200, 0));
        }

        @Test
        void comesBeforeThoseWithMoreTime() {
            assertThat(position(150, 15_000, 0)).isLessThan(position(400, 3_000, 0));
        }
    }

    @Nested
    class ALateRequest {
        /** Guards against an order by arrival, in which requests with little time are lost. */
        @Test
        void comesBeforeThoseWithMoreTime() {
            assertThat(position(-500, 1_200, 0)).isLessThan(position(-900, 12_000, 0));
        }

        @Test
        void yieldsToAHigherRankWhileItHasTime() {
            assertThat(position(-500, 5_000, 0)).isLessThan(position(-500, 4_000, 1));
        }

        /** Guards against ranks that are never served. */
        @Test
        void yieldsToNoRankWhenItsTimeRunsOut() {
            assertThat(position(-500, 1_100, 2)).isLessThan(position(-500, 3_000, 0));
        }
    }

    @Nested
    class AllTimesTwiceAsLong {
        @Test
        void giveTheSameOrder() {
            final RunForecast twice = new RunForecast(200, 2_000);
            final QueuePosition first = QueuePosition.of(new TimeLeft(800, 6_000, 6_000), twice, 1);
            final QueuePosition second =
                    QueuePosition.of(new TimeLeft(1_200, 6_000, 6_000), twice, 0);
            assertThat(first.compareTo(second))
                    .isEqualTo(position(400, 3_000, 1).compareTo(position(600, 3_000, 0)));
        }
    }
}
