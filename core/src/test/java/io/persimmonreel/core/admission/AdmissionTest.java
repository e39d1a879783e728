package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.admission.Admission.Applicant;
import io.persimmonreel.core.admission.Admission.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private final Admission mAdmission = new Admission(1);

    private Kind decide(
            final Applicant applicant, final double first, final double wait, final double queue) {
        return mAdmission.decide(applicant, first, wait, queue).kind();
    }

    /** The load of a burst beyond the capacity of the replicas. */
    @Nested
    class Burst {
        @Test
        void sendsWhatWillBeOnTime() {
            assertThat(decide(new Applicant(400, 0, 3_000, false), 250, 200, 0))
                    .isEqualTo(Kind.SEND);
        }

        /** Nothing is refused or held while a place is free. */
        @Test
        void sendsWhateverFindsAFreePlace() {
            assertThat(decide(new Applicant(400, 0, 3_000, false), 900, 0, 0)).isEqualTo(Kind.SEND);
            assertThat(decide(new Applicant(400, 2_000, 1_000, true), 900, 0, 0))
                    .isEqualTo(Kind.SEND);
        }

        /** Engines serve in order of arrival, so late work must not stand before punctual work. */
        @Test
        void holdsLateWorkWhileReplicasHaveQueues() {
            assertThat(decide(new Applicant(400, 500, 3_000, false), 400, 300, 0))
                    .isEqualTo(Kind.HOLD);
        }

        /** Work that would wait beyond its caller's patience is refused at once. */
        @Test
        void refusesWhatWouldWaitTooLong() {
            final Admission.Decision decision =
                    mAdmission.decide(new Applicant(400, 60, 3_000, false), 1_500, 1_400, 4_000);
            assertThat(decision.kind()).isEqualTo(Kind.REFUSE);
            assertThat(decision.returnMillis()).isBetween(1L, 1_000L);
        }
    }

    @Nested
    class ReturnTime {
        /** Callers honour return times only within a third of the time that they have left. */
        @Test
        void staysWithinWhatCallersHonour() {
            for (int i = 0; i < 100; i++) {
                assertThat(mAdmission.returnMillis(60_000, 3_000)).isBetween(1L, 1_000L);
            }
        }

        /** Callers that return together would be refused together. */
        @Test
        void isSpread() {
            long least = Long.MAX_VALUE;
            long most = 0;
            for (int i = 0; i < 100; i++) {
                final long millis = mAdmission.returnMillis(1_000, 15_000);
                least = Math.min(least, millis);
                most = Math.max(most, millis);
            }
            assertThat(most - least).isGreaterThan(500);
        }
    }

    @Nested
    class Leave {
        private final LeaveRule mRule = new LeaveRule();

        /** A stream that would be cut off at the end of the process is better served elsewhere. */
        @Test
        void refusesWhatTheEndWouldCutOff() {
            assertThat(mRule.accepts(2_000, 4_000)).isFalse();
            assertThat(mRule.accepts(50, 4_000)).isTrue();
            assertThat(mRule.accepts(50, 300)).isFalse();
        }
    }
}
