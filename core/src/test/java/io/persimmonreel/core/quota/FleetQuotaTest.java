package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.route.RelayCustomer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetQuotaTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int DAEMONS = 6;
    private static final double RATE = 10_000;

    private static RelayCustomer customer(final double rate) {
        return QuotaFleet.customer(rate);
    }

    private static QuotaFleet fleet(final QuotaTolerance tolerance) {
        final QuotaFleet fleet =
                new QuotaFleet(
                        DAEMONS, customer(RATE), QuotaDaemonModel.factory(tolerance), DAEMONS);
        fleet.useSizes(100, 132);
        fleet.run(15_000, 0.5 * RATE);
        return fleet;
    }

    /** Returns the quotas of a daemon that is alone, with units of one life in store. */
    private static FleetQuota quota(final double rate) {
        final FleetQuota quota = new FleetQuota(QuotaTolerance.NONE, QuotaLife.MESH);
        quota.configure(List.of(customer(rate)), -QuotaLife.MESH.minimum().toNanos());
        return quota;
    }

    private static void takeAll(final FleetQuota quota, final long nowNanos) {
        while (quota.tryTake(customer(RATE), 100, nowNanos).isPresent()) {
            continue;
        }
    }

    /** Records the outcome of a claim. */
    private static final class Outcome implements QuotaClaim.Listener {
        private QuotaPermit mPermit;
        private long mRetryMillis = -1;

        @Override
        public void onGranted(final QuotaPermit permit, final long nowNanos) {
            mPermit = permit;
        }

        @Override
        public void onRefused(final ClaimRefusal refusal) {
            mRetryMillis = refusal.retryMillis();
        }
    }

    /** Tests a customer that sends seven times its quota through all daemons. */
    @Nested
    class CustomerAboveItsQuota {
        private long use(final QuotaFleet fleet) {
            fleet.run(10_000, 7 * RATE);
            fleet.resetCounts();
            fleet.run(8_000, 7 * RATE);
            return fleet.sentUnits();
        }

        @Test
        void staysWithinItsRateAcrossTheFleet() {
            // A window of 8 s allows 8 s of the rate plus the burst.
            assertThat(use(fleet(QuotaTolerance.NONE)))
                    .isBetween((long) (8 * RATE * 0.9), (long) (9 * RATE));
        }

        @Test
        void staysWithinTheTolerance() {
            final double tokens = 0.7 * RATE;
            assertThat(use(fleet(new QuotaTolerance(0.25, tokens, Duration.ofSeconds(8)))))
                    .isBetween((long) (8 * RATE), (long) (9 * RATE * 1.25 + tokens));
        }

        /** Partitions that do not hear from each other together stay within the quota. */
        @Test
        void staysWithinItsRateWhileTheFleetIsPartitioned() {
            final QuotaFleet fleet = fleet(QuotaTolerance.NONE);
            fleet.moveToPart(0, 1);
            fleet.moveToPart(1, 1);
            assertThat(use(fleet)).isLessThanOrEqualTo((long) (9 * RATE));
        }

        /** Daemons that restart one after the other do not grant the burst again each time. */
        @Test
        void hasNoNewBurstAfterARestart() {
            final QuotaFleet fleet = fleet(QuotaTolerance.NONE);
            for (int i = 0; i < 4 * DAEMONS; i++) {
                fleet.restart(i % DAEMONS, 100);
                fleet.run(400, 7 * RATE);
            }
            assertThat((double) fleet.mostInWindow()).isLessThanOrEqualTo(9 * RATE);
        }
    }

    @Nested
    class Permits {
        @Test
        void areUnlimitedWithoutARate() {
            final FleetQuota quota = quota(0);
            for (int i = 0; i < 100; i++) {
                final Optional<QuotaPermit> permit = quota.tryTake(customer(0), 1_000_000, 0);
                assertThat(permit).isPresent();
                assertThat(quota.spend(permit.get(), 0)).isTrue();
            }
        }

        @Test
        void areSpentOnce() {
            final FleetQuota quota = quota(RATE);
            final QuotaPermit permit = quota.tryTake(customer(RATE), 100, 0).orElseThrow();
            assertThat(quota.spend(permit, 0)).isTrue();
            assertThat(quota.spend(permit, 0)).isFalse();
        }

        /** A request that waited for long is not sent with units of an earlier time. */
        @Test
        void expireWhileTheirRequestWaits() {
            final FleetQuota quota = quota(RATE);
            final QuotaPermit permit = quota.tryTake(customer(RATE), 100, 0).orElseThrow();
            final long later = QuotaLife.MESH.minimum().toNanos();
            assertThat(quota.isValid(permit, later)).isFalse();
            assertThat(quota.spend(permit, later)).isFalse();
        }

        @Test
        void areTakenBackIfTheRequestWasNotSent() {
            final FleetQuota quota = quota(RATE);
            final List<QuotaPermit> permits = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                permits.add(quota.tryTake(customer(RATE), 1_000, 0).orElseThrow());
            }
            takeAll(quota, 0);
            permits.forEach(permit -> quota.release(permit, 0));
            assertThat(quota.tryTake(customer(RATE), 10_000, 0)).isPresent();
        }

        /** A replica that did not run a request does not use the quota. */
        @Test
        void canBeSpentAgainIfTheReplicaDidNotRunTheRequest() {
            final FleetQuota quota = quota(RATE);
            final QuotaPermit permit = quota.tryTake(customer(RATE), 100, 0).orElseThrow();
            quota.spend(permit, 0);
            quota.restore(permit);
            assertThat(quota.spend(permit, 0)).isTrue();
        }

        /** A lower limit applies at once, also to units that accrued under the old one. */
        @Test
        void areWithdrawnByALowerLimit() {
            final FleetQuota quota = quota(RATE);
            final QuotaPermit permit = quota.tryTake(customer(RATE), 100, 0).orElseThrow();
            quota.configure(List.of(customer(10)), 0);
            assertThat(quota.spend(permit, 0)).isFalse();
            assertThat(quota.tryTake(customer(10), 100, 0)).isEmpty();
        }

        @Test
        void areDroppedIfTheirAgeIsUnknown() {
            final FleetQuota quota = quota(RATE);
            final QuotaPermit permit = quota.tryTake(customer(RATE), 100, 0).orElseThrow();
            quota.clear(0);
            assertThat(quota.spend(permit, 0)).isFalse();
            assertThat(quota.tryTake(customer(RATE), 100, 0)).isEmpty();
        }
    }

    @Nested
    class Claims {
        @Test
        void areGrantedOnceUnitsAccrued() {
            final FleetQuota quota = quota(RATE);
            takeAll(quota, 0);
            final Outcome outcome = new Outcome();
            quota.claim(customer(RATE), 1_000, false, outcome, 0);
            quota.onTimer(90 * MILLI);
            assertThat(outcome.mPermit).isNull();
            quota.onTimer(200 * MILLI);
            assertThat(outcome.mPermit).isNotNull();
        }

        /** A large claim is granted before small ones that came later. */
        @Test
        void areGrantedInOrderOfArrival() {
            final FleetQuota quota = quota(RATE);
            takeAll(quota, 0);
            final Outcome large = new Outcome();
            final Outcome small = new Outcome();
            quota.claim(customer(RATE), 4_000, false, large, 0);
            quota.claim(customer(RATE), 100, false, small, 0);
            quota.onTimer(300 * MILLI);
            assertThat(small.mPermit).isNull();
            quota.onTimer(500 * MILLI);
            assertThat(large.mPermit).isNotNull();
            assertThat(small.mPermit).isNotNull();
        }

        @Test
        void areRefusedWithTheTimeUntilUnitsAreAvailable() {
            final FleetQuota quota = quota(RATE);
            takeAll(quota, 0);
            for (int i = 0; i < 10; i++) {
                quota.claim(customer(RATE), 2_000, true, new Outcome(), 0);
            }
            final Outcome outcome = new Outcome();
            quota.claim(customer(RATE), 1_000, false, outcome, 0);
            final double rate = 9 * RATE / 9.6;
            assertThat(outcome.mRetryMillis)
                    .isBetween((long) (20_800 / rate * 1_000), (long) (21_200 / rate * 1_000));
        }

        @Test
        void areRefusedOnceTheyWaitedTooLong() {
            final FleetQuota quota = quota(RATE);
            takeAll(quota, 0);
            quota.onShare(0, 0.01, 0);
            final Outcome outcome = new Outcome();
            quota.claim(customer(RATE), 100, false, outcome, 0);
            quota.onTimer(TimeUnit.SECONDS.toNanos(3));
            assertThat(outcome.mRetryMillis).isGreaterThanOrEqualTo(0);
        }

        @Test
        void areSilentAfterTheirWithdrawal() {
            final FleetQuota quota = quota(RATE);
            takeAll(quota, 0);
            final Outcome outcome = new Outcome();
            quota.claim(customer(RATE), 1_000, false, outcome, 0).cancel();
            quota.onTimer(TimeUnit.SECONDS.toNanos(3));
            assertThat(outcome.mPermit).isNull();
            assertThat(outcome.mRetryMillis).isNegative();
        }
    }

    @Test
    void countsRequestsWithoutSizeByTheDefaultOfTheCustomer() {
        assertThat(customer(RATE).units(-1)).isEqualTo(200);
        assertThat(customer(RATE).units(0)).isEqualTo(1);
        assertThat(customer(RATE).units(7_000)).isEqualTo(7_000);
    }
}
