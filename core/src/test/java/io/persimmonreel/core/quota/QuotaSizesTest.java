package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.quota.QuotaFleet.Request;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays a customer that asks for more than its quota, and compares what it gets by size. */
class QuotaSizesTest {
    private static final QuotaTolerance TOLERANCE =
            new QuotaTolerance(0.25, 140_000, Duration.ofMillis(QuotaFleet.WINDOW_MILLIS));

    private static final int SEEDS = 3;

    /** Two in three requests are short ones, of fewer units than nearly any long one. */
    private static final long LONGEST_SHORT_UNITS = 1_400;

    private static final double LONG_MEAN_UNITS = 7_000;
    private static final double LONG_SPREAD = 0.6;
    private static final long MAXIMUM_UNITS = 70_000;

    private static long units(final SplittableRandom random) {
        if (random.nextInt(3) > 0) {
            return LONGEST_SHORT_UNITS / 2 + random.nextInt((int) LONGEST_SHORT_UNITS / 2);
        }
        final double gaussian =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                        * Math.cos(2 * Math.PI * random.nextDouble());
        final double factor = Math.exp(LONG_SPREAD * gaussian - LONG_SPREAD * LONG_SPREAD / 2);
        return Math.min(
                MAXIMUM_UNITS, Math.max(LONGEST_SHORT_UNITS, (long) (LONG_MEAN_UNITS * factor)));
    }

    private static double servedShare(final List<Request> requests) {
        return (double) requests.stream().filter(Request::wasSent).count() / requests.size();
    }

    private static List<Request> play(
            final int daemons, final double rate, final double load, final long seed) {
        final QuotaFleet fleet =
                new QuotaFleet(
                        daemons,
                        QuotaFleet.customer(rate),
                        QuotaDaemonModel.factory(TOLERANCE),
                        seed);
        fleet.useSizes(QuotaSizesTest::units);
        fleet.run(12_000, 0.5 * rate);
        fleet.resetCounts();
        fleet.run(20_000, load * rate);
        return fleet.offered();
    }

    @Nested
    class TheLargestLongRequests {
        @ParameterizedTest
        @CsvSource({
            "7, 60000, 1.0",
            "7, 60000, 4.0",
            "30, 60000, 1.0",
            "30, 60000, 1.5",
            "30, 60000, 4.0",
            "59, 60000, 4.0"
        })
        void areServedAtLeastHalfAsOftenAsAllLongOnes(
                final int daemons, final double rate, final double load) {
            final List<Request> longOnes =
                    LongStream.rangeClosed(1, SEEDS)
                            .mapToObj(seed -> play(daemons, rate, load, seed))
                            .flatMap(List::stream)
                            .filter(request -> request.units() >= LONGEST_SHORT_UNITS)
                            .sorted(Comparator.comparingLong(Request::units))
                            .toList();
            final int size = longOnes.size();
            final double all = servedShare(longOnes);
            final double fifth = servedShare(longOnes.subList(size * 7 / 10, size * 9 / 10));
            final double largest = servedShare(longOnes.subList(size * 9 / 10, size));
            System.out.printf(
                    "%d daemons, rate %.0f, load %.1f: long ones %.3f, fifth below the largest"
                            + " tenth %.3f, largest tenth %.3f%n",
                    daemons, rate, load, all, fifth, largest);
            assertThat(largest).as("largest tenth").isGreaterThanOrEqualTo(all / 2);
            assertThat(fifth).as("fifth below").isGreaterThanOrEqualTo(all / 2);
        }
    }
}
