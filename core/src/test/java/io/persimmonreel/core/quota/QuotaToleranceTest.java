package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import io.persimmonreel.core.route.RelayCustomer;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays a customer with a burst of several seconds, before and after its quota is lowered. */
class QuotaToleranceTest {
    private static final int WINDOW_SECONDS = 8;
    private static final int USUAL = 50_000;
    private static final QuotaTolerance TOLERANCE =
            new QuotaTolerance(0.25, 110_000, Duration.ofSeconds(WINDOW_SECONDS));

    private static RelayCustomer customer(final double rate) {
        return QuotaFleet.customer(rate, 3.6 * rate);
    }

    /** Returns the units that a customer has a right to in any window in which it asks for them. */
    private static double limit(final RelayCustomer customer) {
        return customer.ratePerSecond() * WINDOW_SECONDS + customer.burst();
    }

    private static QuotaFleet fleet(final int daemons, final RelayCustomer customer) {
        final QuotaFleet fleet =
                new QuotaFleet(daemons, customer, QuotaDaemonModel.factory(TOLERANCE), daemons);
        fleet.useSizes(1, 4_000);
        return fleet;
    }

    /** A customer that goes on as before after its quota was lowered far below its use. */
    @Nested
    class LoweredQuota {
        private static final double LOWERED_RATE = 0.53 * USUAL;

        private QuotaFleet simulate(final int daemons) {
            final QuotaFleet fleet = fleet(daemons, customer(1.8 * USUAL));
            fleet.run(15_000, USUAL);
            fleet.configure(customer(LOWERED_RATE));
            fleet.resetCounts();
            return fleet;
        }

        /** What the operator tolerates is served. */
        @Test
        void servesWhatIsTolerated() {
            final QuotaFleet fleet = simulate(8);
            fleet.run(30_000, USUAL);
            assertThat(fleet.sentUnits())
                    .isGreaterThanOrEqualTo((long) (0.99 * fleet.offeredUnits()));
        }

        @ParameterizedTest
        @ValueSource(ints = {8, 95})
        void staysWithinTheBoundAWindowLater(final int daemons) {
            final QuotaFleet fleet = simulate(daemons);
            fleet.run(1_000 * WINDOW_SECONDS, 4 * USUAL);
            fleet.resetMost();
            fleet.run(22_000, 4 * USUAL);
            assertThat((double) fleet.mostInWindow())
                    .isLessThanOrEqualTo(QuotaFleet.bound(customer(LOWERED_RATE), TOLERANCE));
        }

        @ParameterizedTest
        @ValueSource(ints = {8, 95})
        void getsItsRate(final int daemons) {
            final QuotaFleet fleet = simulate(daemons);
            for (int window = 0; window < 4; window++) {
                fleet.resetCounts();
                fleet.run(1_000 * WINDOW_SECONDS, 4 * USUAL);
                assertThat(fleet.sentUnits())
                        .isGreaterThanOrEqualTo((long) (LOWERED_RATE * WINDOW_SECONDS * 0.9));
            }
        }
    }

    /** A customer that suddenly sends 7.5 times its usual load through all daemons. */
    @Nested
    class SuddenLoad {
        @ParameterizedTest
        @ValueSource(ints = {8, 95})
        void staysWithinTheBoundAndGetsItsLimit(final int daemons) {
            final QuotaFleet fleet = fleet(daemons, customer(90_000));
            fleet.run(20_000, USUAL);
            fleet.resetMost();
            fleet.run(20_000, 7.5 * USUAL);
            assertThat((double) fleet.mostInWindow())
                    .isLessThanOrEqualTo(QuotaFleet.bound(customer(90_000), TOLERANCE))
                    .isGreaterThanOrEqualTo(limit(customer(90_000)));
        }
    }

    /** While the replicas have no room, only half of the tolerated rate is granted. */
    @Test
    void takesMoreUnitsWithoutRoom() {
        final FleetQuota quota = new FleetQuota(TOLERANCE, QuotaLife.MESH);
        quota.configure(List.of(QuotaFleet.customer(10_000)), 0);
        assertThat(quota.unitsToClaim(QuotaFleet.customer(10_000), 900, true)).isEqualTo(900);
        final double accrued = (9 * 10_000 * 1.25 + 110_000) / 9.6;
        assertThat(quota.unitsToClaim(QuotaFleet.customer(10_000), 900, false))
                .isEqualTo((long) (900 * accrued / (10_000 * 1.125)));
    }

    @Test
    void rejectsAWindowThatIsNotPositive() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new QuotaTolerance(0.25, 0, Duration.ZERO));
    }
}
