package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.RelayCustomer;
import java.util.ArrayList;
import java.util.List;
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

    private static void exchange(final List<FleetQuota> group, final int first) {
        for (int from = 0; from < group.size(); from++) {
            for (int to = 0; to < group.size(); to++) {
                if (from != to) {
                    group.get(to).onPeerUse(first + from, group.get(from).ownUse());
                }
            }
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
                exchange(fleet.subList(0, split), 0);
                exchange(fleet.subList(split, DAEMONS), split);
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

        /** A daemon that starts knows nothing of the use before; its first report is no use. */
        @Test
        void countsOnlyWhatPeersUseAfterTheFirstReport() {
            final List<FleetQuota> fleet = fleet(RATE);
            fleet.get(0).use(customer(RATE), 4_000, 0);
            fleet.get(1).onPeerUse(0, fleet.get(0).ownUse());
            assertThat(fleet.get(1).use(customer(RATE), 4_000, 0)).isTrue();
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
