package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CustomerQuotaTest {
    private static final double RATE = 10_000;
    private static final double SHARE = 0.1;
    private static final long NUMBER = 7;
    private static final QuotaSupplier COLLECTOR =
            new QuotaSupplier() {
                @Override
                public long request(
                        final String customer, final long units, final QuotaClaim.Kind kind) {
                    return NUMBER;
                }

                @Override
                public boolean hasCollector(final String customer) {
                    return true;
                }
            };

    private final CustomerQuota mQuota =
            new CustomerQuota("acme", new Allowance(RATE, nanos(4_000)), 0);
    private int mGranted;

    private static long nanos(final long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void claim(final long units, final QuotaSupplier supplier, final long millis) {
        final QuotaClaim.Listener listener =
                new QuotaClaim.Listener() {
                    @Override
                    public void onGranted(final QuotaPermit permit, final long nowNanos) {
                        mGranted++;
                    }

                    @Override
                    public void onRefused(final ClaimRefusal refusal) {}
                };
        mQuota.claim(
                new QuotaClaim(units, new QuotaClaim.Kind(false, 0), listener),
                supplier,
                SHARE,
                nanos(millis));
    }

    private void advance(final long fromMillis, final long toMillis) {
        advance(fromMillis, toMillis, COLLECTOR);
    }

    private void advance(final long fromMillis, final long toMillis, final QuotaSupplier supplier) {
        for (long millis = fromMillis; millis <= toMillis; millis += 50) {
            mQuota.accrue(SHARE, supplier, nanos(millis));
            mQuota.serve(nanos(millis));
        }
    }

    @Nested
    class InAShortage {
        @BeforeEach
        void refuseAClaim() {
            claim(50_000, COLLECTOR, 0);
            mQuota.onShortage(NUMBER, 0, 0);
        }

        @Test
        void unitsThatAccrueHereAreNotTakenByRequestsThatFit() {
            advance(50, 500);
            assertThat(mQuota.tryTake(400, 0, nanos(500))).isEmpty();
        }

        @Test
        void requestsWithNegligibleUnitsAreServedHere() {
            advance(50, 500);
            assertThat(mQuota.tryTake(100, 0, nanos(500))).isPresent();
            assertThat(mQuota.level(nanos(500))).isEqualTo(400);
        }

        @Test
        void unitsThatAccrueHereGoToTheCollector() {
            advance(50, 500);
            assertThat(UnitLots.sum(mQuota.takeSurplus(nanos(500)))).isEqualTo(500);
            assertThat(mQuota.level(nanos(500))).isZero();
        }

        @Test
        void unitsThatTheCollectorGrantsServeTheClaim() {
            claim(5_000, COLLECTOR, 100);
            mQuota.add(new UnitLot(5_000, nanos(4_000)), true, nanos(150));
            mQuota.serve(nanos(150));
            assertThat(mGranted).isEqualTo(1);
        }

        @Test
        void unusedUnitsOfAPeerGoToTheCollector() {
            advance(50, 100);
            mQuota.add(new UnitLot(5_000, nanos(4_000)), false, nanos(150));
            assertThat(mQuota.tryTake(1_000, 0, nanos(150))).isEmpty();
            assertThat(UnitLots.sum(mQuota.takeSurplus(nanos(150)))).isEqualTo(5_100);
        }

        @Test
        void unitsAreUsedHereAgainIfNoCollectorIsConnected() {
            advance(50, 500);
            claim(400, QuotaSupplier.NONE, 500);
            advance(550, 600, QuotaSupplier.NONE);
            assertThat(mGranted).isEqualTo(1);
        }

        @Test
        void aClaimThatWaitsIsServedHereIfTheCollectorIsLost() {
            claim(400, COLLECTOR, 10);
            advance(50, 450);
            assertThat(mGranted).isZero();
            advance(500, 550, QuotaSupplier.NONE);
            assertThat(mGranted).isEqualTo(1);
        }

        @Test
        void unitsDoNotLiveLongerInAGrantOfOldAndNewOnes() {
            mQuota.add(new UnitLot(500, nanos(1_000)), true, 0);
            mQuota.add(new UnitLot(500, nanos(900)), true, 0);
            advance(50, 500);
            final List<UnitLot> lots = mQuota.takeSurplus(nanos(500));
            final List<UnitLot> received =
                    UnitLots.ofGrant(UnitLots.toGrant("acme", lots, nanos(500)), nanos(500));
            assertThat(UnitLots.sum(lots)).isEqualTo(1_500);
            assertThat(received).containsExactlyInAnyOrderElementsOf(lots);
        }
    }

    @Nested
    class AfterAShortage {
        @Test
        void unitsThatAccrueHereServeRequestsHere() {
            claim(50_000, COLLECTOR, 0);
            mQuota.onShortage(NUMBER, 0, 0);
            advance(50, 1_500);
            assertThat(mQuota.tryTake(1_000, 0, nanos(1_500))).isPresent();
        }
    }
}
