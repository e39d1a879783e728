package io.persimmonreel.core.objective;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.time.ManualTime;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ObjectiveTrackerTest {
    private static final Duration ONE_MINUTE = Duration.ofMinutes(1);
    private static final ServiceSpec SERVICE =
            new ServiceSpec(
                    "reply",
                    "assistant",
                    Tier.URGENT,
                    true,
                    List.of(),
                    Duration.ofSeconds(8),
                    1,
                    1,
                    new ObjectiveSpec(
                            0.99,
                            Duration.ofMillis(500),
                            Duration.ofMillis(30),
                            Duration.ofSeconds(4)));

    private final ManualTime mTime = new ManualTime();
    private final ObjectiveTracker mTracker = new ObjectiveTracker(mTime);

    private boolean countAnswer(
            final long firstMillis, final long betweenMillis, final long endMillis) {
        return mTracker.countAnswered(
                SERVICE,
                Tier.URGENT,
                Duration.ofMillis(firstMillis),
                Duration.ofMillis(betweenMillis),
                Duration.ofMillis(endMillis));
    }

    /** Counts 100 requests in each minute, some of which miss the objective. */
    private void run(final int minutes, final int missesPerMinute) {
        for (int minute = 0; minute < minutes; minute++) {
            for (int i = 0; i < 100; i++) {
                if (i < missesPerMinute) {
                    mTracker.countMissed(SERVICE, Tier.URGENT);
                } else {
                    countAnswer(100, 10, 1_000);
                }
            }
            mTime.advance(ONE_MINUTE);
        }
    }

    private ServiceObjective only() {
        return mTracker.report().services().get(0);
    }

    @Nested
    class Attainment {
        /** Guards against a response that counts as good although one of its times was missed. */
        @Test
        void requiresEachTimeToBeMet() {
            assertThat(countAnswer(500, 30, 4_000)).isTrue();
            assertThat(countAnswer(501, 30, 4_000)).isFalse();
            assertThat(countAnswer(500, 31, 4_000)).isFalse();
            assertThat(countAnswer(500, 30, 4_001)).isFalse();
            assertThat(only().total()).isEqualTo(new RequestCount(4, 1));
        }

        @Test
        void isFullWithoutRequests() {
            assertThat(mTracker.report().services()).isEmpty();
            assertThat(RequestCount.NONE.attainment()).isEqualTo(1.0);
            assertThat(RequestCount.NONE.burnRate(0.99)).isZero();
        }
    }

    @Nested
    class Burn {
        /** Guards against counting buckets that are older than the window. */
        @Test
        void countsOnlyRequestsWithinItsWindow() {
            run(30, 2);
            run(30, 0);
            assertThat(only().burnRate(ObjectiveWindow.FIVE_MINUTES)).isZero();
            assertThat(only().burnRate(ObjectiveWindow.ONE_HOUR)).isCloseTo(1.0, within(0.05));
            assertThat(only().budgetSpent()).isCloseTo(1.0, within(1e-6));
            mTime.advance(Duration.ofHours(7));
            assertThat(only().windows().values()).containsOnly(RequestCount.NONE);
            assertThat(only().total().offered()).isEqualTo(6_000);
        }

        @Test
        void raisesAndClearsTheFastAlert() {
            run(60, 0);
            run(4, 100);
            assertThat(only().burnRate(ObjectiveWindow.FIVE_MINUTES)).isGreaterThan(14.4);
            assertThat(only().isFastAlert()).as("1 h is not yet above 14.4").isFalse();
            run(6, 100);
            assertThat(only().isFastAlert()).isTrue();
            run(6, 0);
            assertThat(only().isFastAlert()).as("the fault has ended").isFalse();
        }

        /** Guards against an alert after a single bad request of a service with little traffic. */
        @Test
        void raisesNoAlertForTwoBadRequests() {
            mTracker.countMissed(SERVICE, Tier.URGENT);
            mTracker.countMissed(SERVICE, Tier.URGENT);
            assertThat(only().isFastAlert()).isFalse();
            mTracker.countMissed(SERVICE, Tier.URGENT);
            assertThat(only().isFastAlert()).isTrue();
        }

        @Test
        void raisesTheSlowAlert() {
            run(360, 5);
            assertThat(only().isSlowAlert()).isFalse();
            run(360, 7);
            assertThat(only().isSlowAlert()).isTrue();
            assertThat(only().isFastAlert()).isFalse();
        }
    }

    @Nested
    class Reports {
        @Test
        void ofSeveralDaemonsAreAdded() {
            run(1, 2);
            mTracker.countMissed(SERVICE, Tier.NORMAL);
            mTracker.countPrefill(1_000);
            mTracker.countWastedPrefill(10);
            final ObjectiveReport one = mTracker.report();
            final ObjectiveReport three = ObjectiveReport.NONE.plus(one).plus(one).plus(one);
            assertThat(three.daemons()).isEqualTo(3);
            assertThat(three.prefill()).isEqualTo(new PrefillCount(3_000, 30));
            assertThat(three.prefill().wastedShare()).isCloseTo(0.01, within(1e-9));
            assertThat(three.byTier(ObjectiveWindow.FIVE_MINUTES))
                    .containsEntry(Tier.URGENT, new RequestCount(300, 294))
                    .containsEntry(Tier.NORMAL, new RequestCount(3, 0));
            assertThat(three.services().get(0).burnRate(ObjectiveWindow.FIVE_MINUTES))
                    .isCloseTo(2.0, within(1e-9));
        }
    }
}
