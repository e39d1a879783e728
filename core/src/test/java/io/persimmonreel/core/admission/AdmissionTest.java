package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.admission.Admission.Decision;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final int CASES = 20_000;
    private static final double LONGEST_MILLIS = 15_000;
    private static final int SLOTS = 10;
    private static final ReplicaForecast FULL = new ReplicaForecast(0, SLOTS, 20_000);

    private final SplittableRandom mRandom = new SplittableRandom(1);

    private static TimeLeft left(final double deadlineMillis) {
        return new TimeLeft(-1, deadlineMillis, deadlineMillis);
    }

    private static PlaceForecast placeIn(final double millis) {
        return new PlaceForecast(millis, 10, 0);
    }

    private static RunForecast runOf(final double millis) {
        return new RunForecast(millis, millis);
    }

    private double anyMillis() {
        return mRandom.nextDouble() * LONGEST_MILLIS;
    }

    private TimeLeft anyTimeLeft() {
        return new TimeLeft(anyMillis() - LONGEST_MILLIS / 2, anyMillis(), anyMillis());
    }

    private RunForecast anyRun() {
        final double first = anyMillis() / 5;
        return new RunForecast(first, first + anyMillis() / 5);
    }

    private ReplicaForecast anyReplica() {
        final int free = mRandom.nextInt(2 * SLOTS) - SLOTS;
        return new ReplicaForecast(free, SLOTS, free >= 1 ? 0 : anyMillis());
    }

    /** Guards against requests that are refused while their callers have time. */
    @Nested
    class ARequest {
        @Test
        void isSentIfASlotIsFree() {
            final TimeLeft left = new TimeLeft(1_000, 3_000, 3_000);
            assertThat(
                            Admission.decide(
                                    left,
                                    new ReplicaForecast(1, SLOTS, 0),
                                    placeIn(9_000),
                                    runOf(900)))
                    .isEqualTo(Decision.SEND);
        }

        @Test
        void isSentToTheQueueOfAReplicaOnlyIfItWillBeOnTimeThere() {
            final ReplicaForecast queue = new ReplicaForecast(0, SLOTS, 400);
            assertThat(
                            Admission.decide(
                                    new TimeLeft(400, 3_000, 3_000),
                                    queue,
                                    placeIn(300),
                                    runOf(100)))
                    .isEqualTo(Decision.SEND);
            assertThat(
                            Admission.decide(
                                    new TimeLeft(399, 3_000, 3_000),
                                    queue,
                                    placeIn(300),
                                    runOf(100)))
                    .isEqualTo(Decision.HOLD);
        }

        /** Guards against work that waits where more urgent work can't overtake it. */
        @Test
        void isNotSentToAReplicaWhereAnotherWaits() {
            final ReplicaForecast queue = new ReplicaForecast(-1, SLOTS, 110);
            assertThat(
                            Admission.decide(
                                    new TimeLeft(400, 3_000, 3_000),
                                    queue,
                                    placeIn(10),
                                    runOf(100)))
                    .isEqualTo(Decision.HOLD);
        }

        @Test
        void leavesTheLastSlotToOthersIfItIsLate() {
            assertThat(
                            Admission.decide(
                                    left(3_000),
                                    new ReplicaForecast(1, SLOTS, 0),
                                    placeIn(9),
                                    runOf(9)))
                    .isEqualTo(Decision.HOLD);
            assertThat(
                            Admission.decide(
                                    left(3_000),
                                    new ReplicaForecast(2, SLOTS, 0),
                                    placeIn(9),
                                    runOf(9)))
                    .isEqualTo(Decision.SEND);
        }

        /** Guards against late requests that no replica with one slot ever runs. */
        @Test
        void takesTheOnlySlotOfAReplicaEvenIfItIsLate() {
            assertThat(
                            Admission.decide(
                                    left(3_000),
                                    new ReplicaForecast(1, 1, 0),
                                    placeIn(9),
                                    runOf(9)))
                    .isEqualTo(Decision.SEND);
        }

        @Test
        void isHeldUntilItsCallerHasNoTimeForTheResponse() {
            assertThat(Admission.decide(left(3_000), FULL, placeIn(2_000), runOf(1_000)))
                    .isEqualTo(Decision.HOLD);
            assertThat(Admission.decide(left(2_999), FULL, placeIn(2_000), runOf(1_000)))
                    .isEqualTo(Decision.REFUSE);
        }

        @Test
        void isRefusedIfItsCallerLeavesBeforeTheFirstEvent() {
            final TimeLeft left = new TimeLeft(-1, 2_000, 12_000);
            final RunForecast run = new RunForecast(100, 3_000);
            assertThat(Admission.decide(left, FULL, placeIn(1_900), run)).isEqualTo(Decision.HOLD);
            assertThat(Admission.decide(left, FULL, placeIn(1_901), run))
                    .isEqualTo(Decision.REFUSE);
        }

        @Test
        void isHeldWhileItIsNotKnownWhenThereWillBeAReplica() {
            assertThat(Admission.decide(left(1_000), FULL, PlaceForecast.UNKNOWN, runOf(900)))
                    .isEqualTo(Decision.HOLD);
        }

        @Test
        void isNeverRefusedIfItCanBeServedInTime() {
            for (int i = 0; i < CASES; i++) {
                final TimeLeft left = anyTimeLeft();
                final PlaceForecast place = placeIn(anyMillis());
                final RunForecast run = anyRun();
                if (place.waitMillis() + run.firstMillis() < left.firstEventMillis()
                        && place.waitMillis() + run.totalMillis() < left.deadlineMillis()) {
                    assertThat(Admission.decide(left, anyReplica(), place, run))
                            .isNotEqualTo(Decision.REFUSE);
                }
            }
        }
    }

    @Nested
    class MoreTimeLeft {
        @Test
        void neverMakesARefusalSooner() {
            for (int i = 0; i < CASES; i++) {
                final TimeLeft less = anyTimeLeft();
                final TimeLeft more =
                        new TimeLeft(
                                less.objectiveMillis() + anyMillis(),
                                less.firstEventMillis() + anyMillis(),
                                less.deadlineMillis() + anyMillis());
                final ReplicaForecast replica = anyReplica();
                final PlaceForecast place = placeIn(anyMillis());
                final RunForecast run = anyRun();
                if (Admission.decide(less, replica, place, run) != Decision.REFUSE) {
                    assertThat(Admission.decide(more, replica, place, run))
                            .isNotEqualTo(Decision.REFUSE);
                }
            }
        }
    }

    /** Guards against a time that doesn't come from the caller, the work or the replicas. */
    @Nested
    class AllTimesTwiceAsLong {
        @Test
        void giveTheSameDecision() {
            for (int i = 0; i < CASES; i++) {
                final TimeLeft left = anyTimeLeft();
                final ReplicaForecast replica = anyReplica();
                final double wait = anyMillis();
                final RunForecast run = anyRun();
                assertThat(
                                Admission.decide(
                                        new TimeLeft(
                                                2 * left.objectiveMillis(),
                                                2 * left.firstEventMillis(),
                                                2 * left.deadlineMillis()),
                                        new ReplicaForecast(
                                                replica.free(),
                                                replica.slots(),
                                                2 * replica.firstMillis()),
                                        placeIn(2 * wait),
                                        new RunForecast(
                                                2 * run.firstMillis(), 2 * run.totalMillis())))
                        .isEqualTo(Admission.decide(left, replica, placeIn(wait), run));
            }
        }
    }

    @Nested
    class AContinuation {
        private static final RunForecast RUN = new RunForecast(100, 3_000);

        private Decision decide(final double firstEventMillis, final ReplicaForecast replica) {
            return Admission.decideContinuation(
                    new TimeLeft(-1, firstEventMillis, firstEventMillis), replica, RUN);
        }

        @Test
        void takesTheLastSlotEvenIfItIsLate() {
            assertThat(decide(2_000, new ReplicaForecast(1, 4, 100))).isEqualTo(Decision.SEND);
        }

        @Test
        void waitsAtAReplicaAsTheNextOneOnlyIfItsEventIsInTime() {
            assertThat(decide(2_000, new ReplicaForecast(0, 4, 2_000))).isEqualTo(Decision.SEND);
            assertThat(decide(2_000, new ReplicaForecast(0, 4, 2_001))).isEqualTo(Decision.HOLD);
            assertThat(decide(2_000, new ReplicaForecast(-1, 4, 100))).isEqualTo(Decision.HOLD);
        }

        /** Guards against a refusal because of the length of a whole response. */
        @Test
        void isHeldUntilNoSlotCanBeInTimeForItsEvent() {
            assertThat(decide(100, FULL)).isEqualTo(Decision.HOLD);
            assertThat(decide(99, FULL)).isEqualTo(Decision.REFUSE);
        }
    }
}
