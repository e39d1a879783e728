package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import io.persimmonreel.core.route.RelayCustomer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays a customer whose requests are spread unevenly over daemons that hear of each other's use
 * late, before and after its quota is lowered.
 */
class QuotaToleranceTest {
    private static final int WINDOW_MILLIS = 8_000;
    private static final int LOWERED_AT_MILLIS = 10_000;
    private static final int END_MILLIS = 40_000;
    private static final int MAXIMUM_UNITS = 4_000;
    private static final double SHARE = 0.25;
    private static final double TOKENS = 110_000;

    private static RelayCustomer customer(final double rate) {
        return new RelayCustomer(
                "acme", List.of("key"), OptionalInt.empty(), rate, 3.6 * rate, true, 200);
    }

    /** Returns the most units that a customer may use in any window. */
    private static double bound(final RelayCustomer customer) {
        return (customer.ratePerSecond() * WINDOW_MILLIS / 1_000 + customer.burst()) * (1 + SHARE)
                + TOKENS;
    }

    /** Returns the units that a customer has a right to in any window in which it asks for them. */
    private static double limit(final RelayCustomer customer) {
        return customer.ratePerSecond() * WINDOW_MILLIS / 1_000 + customer.burst();
    }

    /** Simulates the use of one customer, with requests of 1 to 4,000 units. */
    private static final class Simulation {
        private final SplittableRandom mRandom;
        private final List<FleetQuota> mFleet = new ArrayList<>();
        private final Deque<Report> mReports = new ArrayDeque<>();
        private final long[] mUsed = new long[END_MILLIS];
        private final long[] mAsked = new long[END_MILLIS];
        private final int mReportMillis;
        private RelayCustomer mCustomer;

        record Report(int atMillis, FleetQuota from, Map<String, Long> use) {}

        Simulation(
                final int daemons,
                final int reportMillis,
                final RelayCustomer customer,
                final long seed) {
            mRandom = new SplittableRandom(seed);
            mReportMillis = reportMillis;
            for (int i = 0; i < daemons; i++) {
                final FleetQuota quota =
                        new FleetQuota(
                                new QuotaTolerance(
                                        SHARE, TOKENS, Duration.ofMillis(WINDOW_MILLIS)));
                quota.onMembers(daemons, daemons);
                mFleet.add(quota);
            }
            configure(customer, 0);
        }

        void configure(final RelayCustomer customer, final int atMillis) {
            mCustomer = customer;
            mFleet.forEach(q -> q.configure(List.of(customer), nanos(atMillis)));
        }

        void run(
                final int fromMillis,
                final int toMillis,
                final double unitsPerSecond,
                final boolean room) {
            double due = 0;
            for (int ms = fromMillis; ms < toMillis; ms++) {
                exchangeReports(ms);
                for (due += unitsPerSecond / 1_000; due > 0; ) {
                    final long units = 1 + mRandom.nextInt(MAXIMUM_UNITS);
                    due -= units;
                    mAsked[ms] += units;
                    final FleetQuota quota = pickDaemon();
                    if (quota.tryUse(mCustomer, units, nanos(ms))
                            || room && quota.tryUseTolerated(mCustomer, units, nanos(ms))) {
                        mUsed[ms] += units;
                    }
                }
            }
        }

        /** The first daemon gets a third of the requests. */
        private FleetQuota pickDaemon() {
            return mRandom.nextInt(3) == 0
                    ? mFleet.get(0)
                    : mFleet.get(mRandom.nextInt(mFleet.size()));
        }

        private void exchangeReports(final int ms) {
            while (!mReports.isEmpty() && mReports.peek().atMillis() <= ms) {
                final Report report = mReports.poll();
                mFleet.stream()
                        .filter(receiver -> receiver != report.from())
                        .forEach(receiver -> receiver.onPeerUse(report.use(), nanos(ms)));
            }
            if (ms % mReportMillis == 0) {
                for (final FleetQuota sender : mFleet) {
                    mReports.add(
                            new Report(ms + mReportMillis / 4, sender, sender.takeUnreported()));
                }
            }
        }

        long mostUsed(final int fromMillis) {
            long used = 0;
            long most = 0;
            for (int ms = fromMillis; ms < END_MILLIS; ms++) {
                used += mUsed[ms];
                used -= ms - WINDOW_MILLIS >= fromMillis ? mUsed[ms - WINDOW_MILLIS] : 0;
                most = Math.max(most, used);
            }
            return most;
        }

        static long sum(final long[] units, final int fromMillis, final int toMillis) {
            long sum = 0;
            for (int ms = fromMillis; ms < toMillis; ms++) {
                sum += units[ms];
            }
            return sum;
        }

        private static long nanos(final int millis) {
            return TimeUnit.MILLISECONDS.toNanos(millis);
        }
    }

    /** A customer that goes on as before after its quota was lowered far below its use. */
    @Nested
    class LoweredQuota {
        private static final double USUAL = 50_000;

        private Simulation simulate(final int daemons, final int millis, final boolean room) {
            final Simulation simulation =
                    new Simulation(daemons, millis, customer(1.8 * USUAL), daemons);
            simulation.run(0, LOWERED_AT_MILLIS, USUAL, room);
            simulation.configure(customer(0.53 * USUAL), LOWERED_AT_MILLIS);
            simulation.run(LOWERED_AT_MILLIS, END_MILLIS, USUAL, room);
            return simulation;
        }

        /** While the replicas have room, what the operator tolerates is served. */
        @Test
        void servesWhatIsToleratedWhileThereIsRoom() {
            final Simulation simulation = simulate(8, 200, true);
            final long asked = Simulation.sum(simulation.mAsked, LOWERED_AT_MILLIS, END_MILLIS);
            final long used = Simulation.sum(simulation.mUsed, LOWERED_AT_MILLIS, END_MILLIS);
            assertThat(used).isGreaterThanOrEqualTo((long) (0.99 * asked));
        }

        @ParameterizedTest
        @CsvSource({"8, 200", "95, 400"})
        void staysWithinTheBound(final int daemons, final int reportMillis) {
            final Simulation simulation = simulate(daemons, reportMillis, true);
            assertThat(simulation.mostUsed(LOWERED_AT_MILLIS))
                    .isLessThanOrEqualTo((long) bound(customer(0.53 * USUAL)));
        }

        /** A customer that used more than its quota still gets its rate once there is no room. */
        @ParameterizedTest
        @CsvSource({"8, 200", "95, 400"})
        void getsItsRateOnceThereIsNoRoom(final int daemons, final int reportMillis) {
            final Simulation simulation =
                    new Simulation(daemons, reportMillis, customer(0.53 * USUAL), daemons);
            simulation.run(0, 20_000, USUAL, true);
            simulation.run(20_000, END_MILLIS, USUAL, false);
            for (int from = 12_000; from + WINDOW_MILLIS <= END_MILLIS; from += 500) {
                assertThat(Simulation.sum(simulation.mUsed, from, from + WINDOW_MILLIS))
                        .isGreaterThanOrEqualTo(
                                (long) (customer(0.53 * USUAL).ratePerSecond() * 8 * 0.9));
            }
        }
    }

    /** A customer that suddenly sends 7.5 times its usual load through all daemons. */
    @Nested
    class SuddenLoad {
        @ParameterizedTest
        @CsvSource({"8, 200", "95, 400"})
        void staysWithinTheBound(final int daemons, final int reportMillis) {
            final Simulation simulation =
                    new Simulation(daemons, reportMillis, customer(90_000), daemons);
            simulation.run(0, 20_000, 50_000, true);
            simulation.run(20_000, END_MILLIS, 7.5 * 50_000, true);
            assertThat(simulation.mostUsed(0)).isLessThanOrEqualTo((long) bound(customer(90_000)));
            assertThat(simulation.mostUsed(20_000))
                    .isGreaterThanOrEqualTo((long) limit(customer(90_000)));
        }
    }

    /** A daemon that does not hear from the whole fleet grants nothing beyond the quota. */
    @Test
    void isNotGrantedWithoutReportsOfAllDaemons() {
        final FleetQuota quota =
                new FleetQuota(new QuotaTolerance(SHARE, TOKENS, Duration.ofSeconds(8)));
        quota.configure(List.of(customer(1_000)), 0);
        final long later = TimeUnit.SECONDS.toNanos(9);
        quota.onMembers(7, 8);
        assertThat(quota.tryUseTolerated(customer(1_000), 10, later)).isFalse();
        quota.onMembers(8, 8);
        assertThat(quota.tryUseTolerated(customer(1_000), 10, later)).isTrue();
    }

    /** A daemon that has just started does not know the use before its start. */
    @Test
    void isNotGrantedWithinAWindowAfterTheStart() {
        final FleetQuota quota =
                new FleetQuota(new QuotaTolerance(SHARE, TOKENS, Duration.ofSeconds(8)));
        quota.configure(List.of(customer(1_000)), 0);
        assertThat(quota.tryUseTolerated(customer(1_000), 10, TimeUnit.SECONDS.toNanos(7)))
                .isFalse();
    }

    @Test
    void rejectsAWindowThatIsNotPositive() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new QuotaTolerance(SHARE, TOKENS, Duration.ZERO));
    }
}
