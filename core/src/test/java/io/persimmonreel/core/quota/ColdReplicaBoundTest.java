package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.warmup.WarmUpBound;
import io.persimmonreel.core.warmup.WarmUpRate;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays faults of a fleet against the bound on the arrivals at cold replicas, summed over all
 * daemons. It is beside the model of the fleet that the tests of quotas use.
 */
class ColdReplicaBoundTest {
    private static final int REPLICAS = 6;
    private static final double PER_SECOND = 14;
    private static final WarmUpBound BOUND = new WarmUpBound(1.5, 5);

    /** Less than the margin of the sum, since a step of the model takes 10 ms. */
    private static final int MAXIMUM_LATENCY_MILLIS = 230;

    private static final int SETTLE_MILLIS = 12_000;

    /** A fleet and the arrivals at its replicas. */
    private record Run(QuotaFleet fleet, ColdArrivals arrivals) {
        static Run of(final int daemons, final long seed) {
            return of(daemons, ReplicaStarts.alwaysCold(), seed);
        }

        static Run of(final int daemons, final ReplicaStarts starts, final long seed) {
            final ColdArrivals arrivals = new ColdArrivals(REPLICAS, MAXIMUM_LATENCY_MILLIS, seed);
            final QuotaFleet fleet =
                    new QuotaFleet(
                            daemons,
                            QuotaFleet.customer(1),
                            ColdReplicaDaemonModel.factory(
                                    WarmUpRate.of(BOUND, PER_SECOND), arrivals, starts),
                            seed);
            fleet.run(SETTLE_MILLIS, 0);
            return new Run(fleet, arrivals);
        }

        void play(final int millis) {
            fleet.run(millis, 0);
        }

        void checkBound(final String faults, final long seed) {
            checkBound(faults, seed, arrivals.mostInWindow());
        }

        void checkBound(final String faults, final long seed, final int most) {
            System.out.printf(
                    "cold replicas: %s, %d daemons, seed %d: at most %d arrivals in 1 s%n",
                    faults, fleet.size(), seed, most);
            assertThat(most).isLessThanOrEqualTo((int) BOUND.maximumPerSecond(PER_SECOND));
        }
    }

    @Nested
    class Arrivals {
        @ParameterizedTest
        @CsvSource({"1, 1", "7, 1", "59, 1", "140, 1"})
        void onACalmDayStayWithinTheBoundAndUseTheRate(final int daemons, final long seed) {
            final Run run = Run.of(daemons, seed);
            run.play(10_000);
            run.checkBound("none", seed);
            assertThat(run.arrivals().fewestFrom(SETTLE_MILLIS))
                    .isGreaterThan((long) (0.85 * 10 * PER_SECOND));
        }

        /** Guards against permits that all daemons save up while there are no requests. */
        @ParameterizedTest
        @CsvSource({"7, 1", "59, 1", "140, 1"})
        void afterAnIdleTimeStayWithinTheBound(final int daemons, final long seed) {
            final Run run = Run.of(daemons, seed);
            for (int round = 0; round < 4; round++) {
                run.arrivals().demand(false);
                run.play(2_000);
                run.arrivals().demand(true);
                run.play(1_000);
            }
            run.checkBound("idle times", seed);
        }

        @ParameterizedTest
        @CsvSource({"7, 1", "59, 1", "138, 1"})
        void ofAFleetThatRestartsStayWithinTheBound(final int daemons, final long seed) {
            final Run run = Run.of(daemons, seed);
            for (int round = 0; round < 3; round++) {
                for (int i = 0; i < daemons; i++) {
                    run.fleet().restart(i, 100 + run.fleet().random().nextInt(1_000));
                }
                run.play(5_000);
            }
            run.play(5_000);
            run.checkBound("restarts of all", seed);
        }

        @ParameterizedTest
        @CsvSource({"7, 2, 1", "59, 4, 1", "138, 3, 1"})
        void ofAFleetInPartsStayWithinTheBound(
                final int daemons, final int parts, final long seed) {
            final Run run = Run.of(daemons, seed);
            for (int i = 0; i < daemons; i++) {
                run.fleet().moveToPart(i, i % parts);
            }
            run.arrivals().demand(false);
            run.play(12_000);
            run.arrivals().demand(true);
            for (int i = 0; i < daemons; i += 3) {
                run.fleet().restart(i, 500);
            }
            run.play(12_000);
            run.fleet().heal();
            run.play(6_000);
            run.checkBound(parts + " parts", seed);
        }

        /** Guards against requests of daemons that did not see a crash and read the entry late. */
        @ParameterizedTest
        @CsvSource({"7, 300, 1", "59, 300, 1", "59, 1000, 2", "138, 300, 1", "138, 1000, 2"})
        void afterACrashStayWithinTheBound(
                final int daemons, final int downMillis, final long seed) {
            final ReplicaStarts starts = ReplicaStarts.warm(seed);
            final Run run = Run.of(daemons, starts, seed);
            starts.crash(run.fleet().nowMillis(), downMillis);
            run.play(downMillis + 5_000);
            run.checkBound(
                    "crash and " + downMillis + " ms",
                    seed,
                    run.arrivals().mostInWindow(starts.upMillis(), starts.warmMillis()));
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void afterAnySequenceOfFaultsStayWithinTheBound(final long seed) {
            final SplittableRandom random = new SplittableRandom(seed);
            final Run run = Run.of(7 + random.nextInt(74), seed);
            for (int fault = 0; fault < 16; fault++) {
                final int index = random.nextInt(run.fleet().size());
                switch (random.nextInt(5)) {
                    case 0 -> run.fleet().restart(index, random.nextInt(5_000));
                    case 1 -> run.fleet().freeze(index, random.nextInt(5_000));
                    case 2 -> {
                        for (int i = 0; i < run.fleet().size(); i++) {
                            run.fleet().moveToPart(i, random.nextInt(3));
                        }
                    }
                    case 3 -> {
                        for (int i = 0; i < run.fleet().size(); i++) {
                            if (random.nextInt(3) == 0) {
                                run.fleet().restart(i, random.nextInt(2_000));
                            }
                        }
                    }
                    default -> run.fleet().heal();
                }
                run.arrivals().demand(random.nextInt(3) > 0);
                run.play(200 + random.nextInt(3_000));
            }
            run.checkBound("any", seed);
        }
    }
}
