package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.RelayCustomer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetQuotaTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int DAEMONS = 6;
    private static final double RATE = 10_000;

    private static RelayCustomer customer(final double rate) {
        return new RelayCustomer(
                "acme", List.of("key"), OptionalInt.empty(), rate, rate, true, 200);
    }

    private static List<FleetQuota> fleet(final double rate) {
        return fleet(rate, QuotaTolerance.NONE);
    }

    private static List<FleetQuota> fleet(final double rate, final QuotaTolerance tolerance) {
        final List<FleetQuota> fleet = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            final FleetQuota quota = new FleetQuota(tolerance);
            quota.configure(List.of(customer(rate)), 0);
            quota.onMembers(DAEMONS, DAEMONS);
            fleet.add(quota);
        }
        return fleet;
    }

    private static void exchangeReports(final List<FleetQuota> group, final long nowNanos) {
        for (final FleetQuota sender : group) {
            final Map<String, Long> use = sender.takeUnreported();
            group.stream()
                    .filter(receiver -> receiver != sender)
                    .forEach(receiver -> receiver.onPeerUse(use, nowNanos));
        }
    }

    /**
     * Simulates a customer that sends seven times its rate through all daemons, which report to
     * each other every 200 ms, and returns the units that were used in the last seconds.
     */
    private static long simulate(
            final List<FleetQuota> fleet,
            final int partitionSize,
            final int seconds,
            final int fromSecond) {
        long used = 0;
        final RelayCustomer customer = customer(RATE);
        for (int ms = 0; ms < seconds * 1_000; ms += 10) {
            if (ms % 200 == 0) {
                exchangeReports(fleet.subList(0, partitionSize), ms * MILLI);
                exchangeReports(fleet.subList(partitionSize, DAEMONS), ms * MILLI);
            }
            for (final FleetQuota quota : fleet) {
                final long units = (long) (7 * RATE / DAEMONS / 100);
                if (quota.tryUse(customer, units, ms * MILLI) && ms >= fromSecond * 1_000) {
                    used += units;
                }
            }
        }
        return used;
    }

    /** Tests a customer that sends far more than its quota through all daemons. */
    @Nested
    class CustomerAboveItsQuota {
        @Test
        void staysWithinItsRateAcrossTheFleet() {
            final long used = simulate(fleet(RATE), DAEMONS, 18, 10);
            // A window of 8 s allows 8 s of the rate plus the burst, and a quarter more of both.
            assertThat(used).isBetween((long) (8 * RATE * 0.9), (long) (9 * RATE * 1.25));
        }

        /** A part of the tolerance is granted, and the rest is for reports that come late. */
        @Test
        void staysWithinTheTolerance() {
            final double tokens = 0.7 * RATE;
            final long used =
                    simulate(
                            fleet(RATE, new QuotaTolerance(0.25, tokens, Duration.ofSeconds(8))),
                            DAEMONS,
                            18,
                            10);
            assertThat(used).isBetween((long) (8 * RATE), (long) (9 * RATE * 1.25 + tokens));
        }

        /**
         * Two partitions of the fleet that do not hear from each other together stay within the
         * rate.
         */
        @Test
        void staysWithinItsRateWhileTheFleetIsPartitioned() {
            final List<FleetQuota> fleet = fleet(RATE);
            for (int i = 0; i < DAEMONS; i++) {
                fleet.get(i).onMembers(i < 2 ? 2 : DAEMONS - 2, DAEMONS);
            }
            assertThat(simulate(fleet, 2, 18, 10)).isLessThan((long) (9 * RATE * 1.25));
        }

        /** Daemons that restart one after the other do not grant the burst again each time. */
        @Test
        void hasNoNewBurstAfterARestart() {
            final FleetQuota old = fleet(RATE).get(0);
            while (old.tryUse(customer(RATE), 1_000, 0)) {
                continue;
            }
            final FleetQuota started = fleet(RATE).get(0);
            started.onLevels(old.levels());
            assertThat(started.tryUse(customer(RATE), 1_000, 0)).isFalse();
        }

        /** Use is reported once, and refunded units are reported as negative use. */
        @Test
        void reportsEachUseOnce() {
            final FleetQuota quota = fleet(RATE).get(0);
            quota.tryUse(customer(RATE), 400, 0);
            assertThat(quota.takeUnreported()).containsEntry("acme", 400L);
            assertThat(quota.takeUnreported()).isEmpty();
            quota.refund("acme", 400, 0);
            assertThat(quota.takeUnreported()).containsEntry("acme", -400L);
        }
    }

    @Nested
    class Use {
        @Test
        void isUnlimitedWithoutARate() {
            final FleetQuota quota = new FleetQuota();
            quota.configure(List.of(customer(0)), 0);
            for (int i = 0; i < 100; i++) {
                assertThat(quota.tryUse(customer(0), 1_000_000, 0)).isTrue();
            }
        }

        @Test
        void returnsWhenToRetry() {
            final FleetQuota quota = new FleetQuota();
            quota.configure(List.of(customer(RATE)), 0);
            while (quota.tryUse(customer(RATE), 1_000, 0)) {
                continue;
            }
            final long millis = quota.millisUntilAvailable(customer(RATE), 1_000, false, 0);
            assertThat(quota.tryUse(customer(RATE), 1_000, (millis - 5) * MILLI)).isFalse();
            assertThat(quota.tryUse(customer(RATE), 1_000, (millis + 5) * MILLI)).isTrue();
        }

        /** A lower limit applies at once, also to units that accumulated under the old one. */
        @Test
        void appliesALowerLimitAtOnce() {
            final FleetQuota quota = new FleetQuota();
            quota.configure(List.of(customer(RATE)), 0);
            quota.configure(List.of(customer(10)), 0);
            assertThat(quota.tryUse(customer(10), 100, 0)).isTrue();
            assertThat(quota.tryUse(customer(10), 100, 0)).isFalse();
        }

        @Test
        void countsRequestsWithoutSizeByTheDefaultOfTheCustomer() {
            assertThat(customer(RATE).units(-1)).isEqualTo(200);
            assertThat(customer(RATE).units(0)).isEqualTo(1);
            assertThat(customer(RATE).units(7_000)).isEqualTo(7_000);
        }
    }
}
