package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.RelayCustomer;
import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays faults of a fleet against the bound on the units of a customer that are sent in any window
 * by all daemons together.
 */
class FleetQuotaBoundTest {
    private static final QuotaTolerance TOLERANCE =
            new QuotaTolerance(0.25, 140_000, Duration.ofMillis(QuotaFleet.WINDOW_MILLIS));

    /** The load of a customer that sends far more than its quota, as a multiple of its rate. */
    private static final double OVERLOAD = 3.3;

    private static final double RATE = 60_000;

    private static QuotaFleet fleet(final int daemons, final double rate, final long seed) {
        return new QuotaFleet(
                daemons, QuotaFleet.customer(rate), QuotaDaemonModel.factory(TOLERANCE), seed);
    }

    /** Returns a fleet that has played half of the customer's rate for some time. */
    private static QuotaFleet settledFleet(final int daemons, final double rate, final long seed) {
        final QuotaFleet fleet = fleet(daemons, rate, seed);
        fleet.run(15_000, 0.5 * rate);
        return fleet;
    }

    private static void checkBound(final QuotaFleet fleet) {
        final RelayCustomer customer = fleet.customer();
        assertThat((double) fleet.mostInWindow())
                .as("units in the window that ends at %d ms", fleet.mostInWindowMillis())
                .isLessThanOrEqualTo(QuotaFleet.bound(customer, TOLERANCE));
    }

    @Nested
    class CustomerAboveItsQuota {
        @ParameterizedTest
        @CsvSource({"2, 60000", "7, 60000", "87, 60000", "87, 500000"})
        void staysWithinTheBoundOnACalmDay(final int daemons, final double rate) {
            final QuotaFleet fleet = settledFleet(daemons, rate, 1);
            fleet.run(20_000, OVERLOAD * rate);
            checkBound(fleet);
        }

        @ParameterizedTest
        @CsvSource({"7, 60000", "87, 60000", "87, 500000"})
        void staysWithinTheBoundIfAllDaemonsRestart(final int daemons, final double rate) {
            final QuotaFleet fleet = settledFleet(daemons, rate, 1);
            for (int round = 0; round < 3; round++) {
                fleet.run(8_000, OVERLOAD * rate);
                for (int i = 0; i < daemons; i++) {
                    fleet.restart(i, 1_000);
                }
            }
            fleet.run(10_000, OVERLOAD * rate);
            checkBound(fleet);
        }

        @ParameterizedTest
        @CsvSource({"2, 60000", "7, 60000", "87, 60000", "87, 500000"})
        void staysWithinTheBoundIfAQueueDrainsAtOnce(final int daemons, final double rate) {
            final QuotaFleet fleet = settledFleet(daemons, rate, 1);
            fleet.run(2_000, OVERLOAD * rate);
            fleet.acceptSends(false);
            fleet.run(10_000, OVERLOAD * rate);
            fleet.acceptSends(true);
            fleet.run(10_000, OVERLOAD * rate);
            checkBound(fleet);
        }

        @ParameterizedTest
        @CsvSource({"2, 2", "7, 3", "95, 3", "95, 12"})
        void staysWithinTheBoundIfPartsAreCutOff(final int daemons, final int parts) {
            final QuotaFleet fleet = settledFleet(daemons, RATE, 1);
            for (int i = 0; i < daemons; i++) {
                fleet.moveToPart(i, i % parts);
            }
            fleet.run(12_000, OVERLOAD * RATE);
            fleet.heal();
            fleet.run(10_000, OVERLOAD * RATE);
            checkBound(fleet);
        }
    }

    /** A customer that asks for less than its rate gets all of it on a calm day. */
    @Nested
    class CustomerWithinItsQuota {
        @ParameterizedTest
        @CsvSource({
            "2, 60000, 0.55",
            "7, 60000, 0.9",
            "17, 60000, 0.55",
            "87, 20000, 0.55",
            "87, 60000, 0.9",
            "87, 500000, 0.9"
        })
        void isNeverRefusedOnACalmDay(final int daemons, final double rate, final double load) {
            final QuotaFleet fleet = fleet(daemons, rate, 1);
            fleet.run(15_000, 0);
            fleet.run(30_000, load * rate);
            assertThat(fleet.refusedUnits()).isZero();
            assertThat(fleet.sentUnits()).isGreaterThan((long) (0.99 * fleet.offeredUnits()));
        }
    }

    @Nested
    class AnySequenceOfFaults {
        private static final int FAULTS = 24;
        private static final int MAXIMUM_PART = 4;

        @ParameterizedTest
        @ValueSource(ints = {2, 3, 7, 16, 17, 40, 95})
        void staysWithinTheBound(final int daemons) {
            final long seeds = Long.getLong("quota.seeds", 3);
            for (long seed = 1; seed <= seeds; seed++) {
                final QuotaFleet fleet = settledFleet(daemons, RATE, seed);
                for (int i = 0; i < FAULTS; i++) {
                    injectFault(fleet);
                    fleet.run(
                            QuotaFleet.STEP_MILLIS * (1 + fleet.random().nextInt(300)),
                            OVERLOAD * RATE);
                }
                fleet.acceptSends(true);
                fleet.heal();
                fleet.run(9_000, OVERLOAD * RATE);
                checkBound(fleet);
            }
        }

        private void injectFault(final QuotaFleet fleet) {
            final SplittableRandom random = fleet.random();
            final double share = random.nextBoolean() ? 1.0 : random.nextDouble();
            final int kind = random.nextInt(7);
            if (kind == 0) {
                fleet.acceptSends(false);
            } else if (kind == 1) {
                fleet.acceptSends(true);
            } else if (kind == 2) {
                fleet.heal();
            }
            for (int i = 0; i < fleet.size(); i++) {
                if (random.nextDouble() >= share) {
                    continue;
                }
                if (kind == 3 || kind == 4) {
                    fleet.restart(i, 100 + random.nextInt(2_000));
                } else if (kind == 5) {
                    fleet.freeze(i, 100 + random.nextInt(5_000));
                } else if (kind == 6) {
                    fleet.moveToPart(i, random.nextInt(MAXIMUM_PART));
                }
            }
        }
    }
}
