package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.RelayCustomer;
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
        return fleet(rate, new QuotaTolerance(0, 0));
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

    private static void exchange(final List<FleetQuota> group) {
        for (final FleetQuota from : group) {
            final Map<String, Long> use = from.takeUnreported();
            group.stream().filter(to -> to != from).forEach(to -> to.onPeerUse(use));
        }
    }

    /**
     * Plays a customer that sends seven times its rate through all daemons, with digests every 200
     * ms, and returns the units that were used in the last seconds.
     */
    private static long play(
            final List<FleetQuota> fleet, final int split, final int seconds, final int from) {
        long used = 0;
        final RelayCustomer customer = customer(RATE);
        for (int ms = 0; ms < seconds * 1_000; ms += 10) {
            if (ms % 200 == 0) {
                exchange(fleet.subList(0, split));
                exchange(fleet.subList(split, DAEMONS));
            }
            for (final FleetQuota quota : fleet) {
                final long units = (long) (7 * RATE / DAEMONS / 100);
                if (quota.use(customer, units, ms * MILLI) && ms >= from * 1_000) {
                    used += units;
                }
            }
        }
        return used;
    }

    /** The load of a customer far above its quota through all daemons. */
    @Nested
    class HotCustomer {
        @Test
        void staysWithinItsRateAcrossTheFleet() {
            final long used = play(fleet(RATE), DAEMONS, 18, 10);
            // A window of 8 s allows the rate for 8 s, the burst, and a quarter of both.
            assertThat(used).isBetween((long) (8 * RATE * 0.9), (long) (9 * RATE * 1.25));
        }

        /**
         * What the operator tolerates is used in part, and reports that come late fit in the rest.
         */
        @Test
        void staysWithinWhatTheOperatorTolerates() {
            final double tokens = 0.7 * RATE;
            final long used = play(fleet(RATE, new QuotaTolerance(0.25, tokens)), DAEMONS, 18, 10);
            assertThat(used).isBetween((long) (8 * RATE), (long) (9 * RATE * 1.25 + tokens));
        }

        /** Two parts of the fleet that do not hear each other stay within the rate together. */
        @Test
        void staysWithinItsRateWhileTheFleetIsSplit() {
            final List<FleetQuota> fleet = fleet(RATE);
            for (int i = 0; i < DAEMONS; i++) {
                fleet.get(i).onMembers(i < 2 ? 2 : DAEMONS - 2, DAEMONS);
            }
            assertThat(play(fleet, 2, 18, 10)).isLessThan((long) (9 * RATE * 1.25));
        }

        /** Daemons that restart one after the other do not fill the quota each time. */
        @Test
        void isNotFilledByARestart() {
            final FleetQuota old = fleet(RATE).get(0);
            while (old.use(customer(RATE), 1_000, 0)) {
                continue;
            }
            final FleetQuota started = fleet(RATE).get(0);
            started.onLevels(old.levels());
            assertThat(started.use(customer(RATE), 1_000, 0)).isFalse();
        }

        /** Use is reported once, and units that were given back are reported, too. */
        @Test
        void reportsEachUseOnce() {
            final FleetQuota quota = fleet(RATE).get(0);
            quota.use(customer(RATE), 400, 0);
            assertThat(quota.takeUnreported()).containsEntry("acme", 400L);
            assertThat(quota.takeUnreported()).isEmpty();
            quota.giveBack("acme", 400);
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
                assertThat(quota.use(customer(0), 1_000_000, 0)).isTrue();
            }
        }

        @Test
        void tellsWhenToReturn() {
            final FleetQuota quota = new FleetQuota();
            quota.configure(List.of(customer(RATE)), 0);
            while (quota.use(customer(RATE), 1_000, 0)) {
                continue;
            }
            final long millis = quota.millisUntilAvailable(customer(RATE));
            assertThat(quota.use(customer(RATE), 1_000, (millis - 5) * MILLI)).isFalse();
            assertThat(quota.use(customer(RATE), 1_000, (millis + 5) * MILLI)).isTrue();
        }

        /** A lower limit binds at once; what was saved up under the old one is cut. */
        @Test
        void followsALowerLimit() {
            final FleetQuota quota = new FleetQuota();
            quota.configure(List.of(customer(RATE)), 0);
            quota.configure(List.of(customer(10)), 0);
            assertThat(quota.use(customer(10), 100, 0)).isTrue();
            assertThat(quota.use(customer(10), 100, 0)).isFalse();
        }

        @Test
        void countsRequestsWithoutASizeByTheCustomersDefault() {
            assertThat(customer(RATE).units(-1)).isEqualTo(200);
            assertThat(customer(RATE).units(0)).isEqualTo(1);
            assertThat(customer(RATE).units(7_000)).isEqualTo(7_000);
        }
    }
}
