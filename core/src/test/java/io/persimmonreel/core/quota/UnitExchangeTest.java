package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import io.persimmonreel.core.route.RelayCustomer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UnitExchangeTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final RelayCustomer CUSTOMER = QuotaFleet.customer(10_000);
    private static final Incarnation COLLECTOR = new Incarnation(1);
    private static final Incarnation USER = new Incarnation(2);

    private final Side mCollector = new Side(USER, Optional.empty());
    private final Side mUser = new Side(COLLECTOR, Optional.of(COLLECTOR));

    /** A daemon with one peer. */
    private static final class Side implements UnitRouting, UnitExchange.TransferObserver {
        private final FleetQuota mQuota = new FleetQuota(QuotaTolerance.NONE, QuotaLife.MESH);
        private final Deque<UnitTransfer> mSent = new ArrayDeque<>();
        private final Incarnation mPeer;
        private final Optional<Incarnation> mCollector;
        private final UnitExchange mExchange;

        Side(final Incarnation peer, final Optional<Incarnation> collector) {
            mPeer = peer;
            mCollector = collector;
            mQuota.configure(List.of(CUSTOMER), 0);
            mExchange =
                    new UnitExchange(
                            mQuota,
                            new FleetShare(true, 0, 0),
                            this,
                            (to, transfer) -> mSent.add(transfer),
                            this);
            mExchange.onConnected(peer);
        }

        @Override
        public Optional<Incarnation> collector(final String customer) {
            return mCollector;
        }

        @Override
        public boolean isForwardedFor(final Incarnation peer) {
            return false;
        }

        @Override
        public Collection<Incarnation> partners() {
            return List.of(mPeer);
        }

        @Override
        public String nameOf(final Incarnation peer) {
            return peer.toString();
        }

        @Override
        public void onGiven(final String customer, final long units) {}

        @Override
        public void onReceived(final String customer, final long units) {}

        void receive(final Side from, final long nowNanos) {
            while (!from.mSent.isEmpty()) {
                mExchange.onTransfer(mPeer, from.mSent.poll(), nowNanos);
            }
        }

        void claim(final long units, final long nowNanos) {
            mQuota.claim(
                    CUSTOMER,
                    units,
                    false,
                    new QuotaClaim.Listener() {
                        @Override
                        public void onGranted(final QuotaPermit permit, final long grantedNanos) {}

                        @Override
                        public void onRefused(final ClaimRefusal refusal) {}
                    },
                    nowNanos);
            mExchange.flush(nowNanos);
        }

        long level(final long nowNanos) {
            mQuota.onTimer(nowNanos);
            return mQuota.state(CUSTOMER, nowNanos).orElseThrow().level();
        }
    }

    /** Both sides hear from each other at 1 s; only the user's units accrue. */
    private void connect() {
        mCollector.mQuota.onShare(0, 1, 0);
        mCollector.mExchange.onInterval(1_000 * MILLI);
        mUser.receive(mCollector, 1_000 * MILLI);
    }

    @Nested
    class UnusedUnits {
        @Test
        void moveToTheCollector() {
            connect();
            final long before = mUser.level(1_000 * MILLI);
            mUser.mExchange.onInterval(1_000 * MILLI);
            assertThat(mUser.level(1_000 * MILLI)).isZero();
            mCollector.receive(mUser, 1_001 * MILLI);
            assertThat(mCollector.level(1_001 * MILLI)).isBetween(before / 2, before);
        }

        /**
         * Guards against messages that grow with the number of expiry times of a customer's units.
         */
        @Test
        void ofACustomerTakeOneGrantInAMessage() {
            connect();
            mUser.level(1_000 * MILLI);
            mUser.mExchange.onInterval(1_000 * MILLI);
            assertThat(mUser.mSent.getLast().grants()).hasSize(1);
        }

        @Test
        void ofACustomerInAShortageDoNotExpireBehindThoseOfManyOthers() {
            connect();
            final List<RelayCustomer> customers = new ArrayList<>();
            for (int i = 0; i < 1_000; i++) {
                customers.add(
                        new RelayCustomer(
                                "c" + i, List.of("k" + i), OptionalInt.empty(), 10, 10, true, 1));
            }
            customers.add(CUSTOMER);
            mUser.mQuota.configure(customers, 1_000 * MILLI);
            mUser.mQuota.onShare(0.1, 1, 1_000 * MILLI);
            mUser.claim(1_000_000, 1_000 * MILLI);
            mCollector.receive(mUser, 1_000 * MILLI);
            mCollector.mExchange.flush(1_000 * MILLI);
            mUser.receive(mCollector, 1_001 * MILLI);
            for (long millis = 1_200; millis < 2_000; millis += 200) {
                mUser.mSent.clear();
                mUser.level(millis * MILLI);
                mUser.mExchange.onInterval(millis * MILLI);
                assertThat(mUser.mSent.getLast().grants())
                        .anyMatch(grant -> grant.customer().equals(CUSTOMER.name()));
            }
        }

        @Test
        void areLostWithTheirMessage() {
            connect();
            assertThat(mUser.level(1_000 * MILLI)).isPositive();
            mUser.mExchange.onInterval(1_000 * MILLI);
            mUser.mSent.clear();
            assertThat(mUser.level(1_000 * MILLI)).isZero();
            assertThat(mCollector.level(1_000 * MILLI)).isZero();
        }

        /** Units in a message that was held up on the way don't live longer than others. */
        @Test
        void expireOnTheWay() {
            connect();
            assertThat(mUser.level(1_000 * MILLI)).isPositive();
            mUser.mExchange.onInterval(1_000 * MILLI);
            mCollector.receive(mUser, 1_000 * MILLI + QuotaLife.MESH.minimum().toNanos());
            assertThat(mCollector.level(1_000 * MILLI + QuotaLife.MESH.minimum().toNanos()))
                    .isZero();
        }

        /** The collector's clock stood still while its host was suspended. */
        @Test
        void areIgnoredIfTheyAnswerAMessageBeforeASuspension() {
            connect();
            assertThat(mUser.level(1_000 * MILLI)).isPositive();
            mUser.mExchange.onInterval(1_000 * MILLI);
            mCollector.mExchange.onSuspended(1_001 * MILLI);
            mCollector.receive(mUser, 1_002 * MILLI);
            assertThat(mCollector.level(1_002 * MILLI)).isZero();
        }
    }

    @Nested
    class Claims {
        private QuotaPermit mPermit;
        private long mRetryMillis = -1;

        private void claim(final long units, final long nowNanos) {
            mUser.mQuota.claim(
                    CUSTOMER,
                    units,
                    false,
                    new QuotaClaim.Listener() {
                        @Override
                        public void onGranted(final QuotaPermit permit, final long grantedNanos) {
                            mPermit = permit;
                        }

                        @Override
                        public void onRefused(final ClaimRefusal refusal) {
                            mRetryMillis = refusal.retryMillis();
                        }
                    },
                    nowNanos);
            mUser.mExchange.flush(nowNanos);
            mCollector.receive(mUser, nowNanos);
            mCollector.mExchange.flush(nowNanos);
            mUser.receive(mCollector, nowNanos + MILLI);
        }

        @Test
        void areGrantedFromTheUnitsOfTheCollector() {
            mUser.mQuota.onShare(0, 0, 0);
            claim(5_000, 1_000 * MILLI);
            assertThat(mPermit).isNotNull();
            assertThat(mUser.mQuota.spend(mPermit, 1_002 * MILLI)).isTrue();
        }

        @Test
        void areRefusedIfTheCollectorHasFarTooFew() {
            mUser.mQuota.onShare(0, 0, 0);
            claim(50_000, 1_000 * MILLI);
            assertThat(mPermit).isNull();
            assertThat(mRetryMillis).isPositive();
        }
    }
}
