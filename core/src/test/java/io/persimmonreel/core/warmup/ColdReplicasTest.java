package io.persimmonreel.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.ratelimit.RateShares;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.warmup.ColdReplicas.Crash;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ColdReplicasTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final String ID = "r";
    private static final WarmUpRate RATE = new WarmUpRate(4, 8);

    private final List<ColdReplicaEvent> mEvents = new ArrayList<>();
    private final ColdReplicas mReplicas =
            new ColdReplicas((replica, upstream, event) -> mEvents.add(event));

    private static ReplicaEntry entry(final long startedMillis, final double leftMillis) {
        return new ReplicaEntry(
                ID, "model", "10.0.0.1", 80, "zone", 8, false, startedMillis, leftMillis, "");
    }

    private void limit() {
        mReplicas.onRates(Map.of("model", RATE), 0);
        mReplicas.onShares(new WarmUpShares(RateShares.whole(), 1), 0);
    }

    private void enter(final long startedMillis, final double leftMillis, final long nowNanos) {
        mReplicas.onEntries(List.of(entry(startedMillis, leftMillis)), nowNanos);
    }

    private boolean crash(final long startedMillis, final long crashNanos, final long nowNanos) {
        return mReplicas.onCrash(new Crash(ID, startedMillis, crashNanos), true, nowNanos);
    }

    private int send(final long fromNanos, final long untilNanos) {
        int sent = 0;
        for (long now = fromNanos; now < untilNanos; now += MILLI) {
            if (mReplicas.waitMillis(ID, now) <= 0) {
                mReplicas.onSent(ID, now);
                sent++;
            }
        }
        return sent;
    }

    @Nested
    class AReplica {
        @Test
        void isNotLimitedWithoutARate() {
            enter(1, 3_000, 0);
            crash(1, SECOND, SECOND);
            assertThat(mReplicas.isCold(ID, SECOND)).isFalse();
            assertThat(mReplicas.waitMillis(ID, SECOND)).isZero();
            assertThat(mEvents).isEmpty();
        }

        @Test
        void isColdForTheTimeThatItsEntryStatesFromTheArrival() {
            limit();
            enter(1, 3_000, SECOND);
            assertThat(mReplicas.isCold(ID, 4 * SECOND - 1)).isTrue();
            assertThat(mReplicas.isCold(ID, 4 * SECOND)).isFalse();
        }

        @Test
        void isColdIfTheRateBecomesKnownLater() {
            enter(1, 3_000, 0);
            limit();
            assertThat(mReplicas.isCold(ID, SECOND)).isTrue();
        }

        @Test
        void isNotColdLongerBecauseItsEntryIsReadAgain() {
            limit();
            enter(1, 3_000, 0);
            enter(1, 3_000, 2 * SECOND);
            assertThat(mReplicas.isCold(ID, 3 * SECOND)).isFalse();
        }

        @Test
        void isColdAgainWithoutANewStartIfItsEntrySaysSo() {
            limit();
            enter(1, 0, 0);
            enter(1, 2_500, SECOND);
            assertThat(mReplicas.isCold(ID, 3 * SECOND)).isTrue();
        }

        @Test
        void getsNoMoreThanTheRateAndOneMore() {
            limit();
            enter(1, 60_000, 0);
            assertThat(send(0, 10 * SECOND)).isBetween(39, 41);
        }

        @Test
        void getsNothingFromADaemonWithoutAShare() {
            mReplicas.onRates(Map.of("model", RATE), 0);
            enter(1, 60_000, 0);
            assertThat(mReplicas.waitMillis(ID, SECOND)).isInfinite();
            assertThat(mReplicas.perSecond(ID, SECOND)).isZero();
        }

        /** Guards against a permit for each start of a replica that starts again and again. */
        @Test
        void getsNoNewPermitsWhenItIsColdAgainAtOnce() {
            limit();
            int sent = 0;
            for (int start = 1; start <= 20; start++) {
                enter(start, 60, start * 100 * MILLI);
                sent += send(start * 100 * MILLI, start * 100 * MILLI + 60 * MILLI);
                mReplicas.onShares(
                        new WarmUpShares(RateShares.whole(), 1), start * 100 * MILLI + 60 * MILLI);
            }
            assertThat(sent).isLessThanOrEqualTo(1 + 8);
        }

        @Test
        void losesItsPermitsWithTheShare() {
            limit();
            enter(1, 60_000, 0);
            mReplicas.onShares(WarmUpShares.NONE, 10 * SECOND);
            mReplicas.onShares(new WarmUpShares(RateShares.whole(), 1), 11 * SECOND);
            assertThat(mReplicas.waitMillis(ID, 11 * SECOND)).isPositive();
        }
    }

    @Nested
    class ACrash {
        @Test
        void makesTheReplicaColdUntilItsNextEntry() {
            limit();
            enter(1, 0, 0);
            assertThat(crash(1, SECOND, SECOND)).isTrue();
            assertThat(mReplicas.isCold(ID, 10 * SECOND)).isTrue();
            enter(2, 3_000, 10 * SECOND);
            assertThat(mReplicas.isCold(ID, 13 * SECOND - 1)).isTrue();
            assertThat(mReplicas.isCold(ID, 13 * SECOND)).isFalse();
            assertThat(mEvents).containsExactly(ColdReplicaEvent.CRASH, ColdReplicaEvent.ENTRY);
        }

        /** Guards against an entry of before the crash that arrives late. */
        @Test
        void isNotEndedByAnEntryOfTheSameStart() {
            limit();
            enter(1, 3_000, 0);
            crash(1, SECOND, SECOND);
            enter(1, 0, 2 * SECOND);
            assertThat(mReplicas.isCold(ID, 10 * SECOND)).isTrue();
        }

        @Test
        void ofAnOlderStartIsIgnored() {
            limit();
            enter(2, 0, 0);
            assertThat(crash(1, SECOND, SECOND)).isFalse();
            assertThat(mReplicas.isCold(ID, SECOND)).isFalse();
        }

        @Test
        void isToldOnlyOnce() {
            limit();
            enter(1, 0, 0);
            assertThat(crash(1, SECOND, SECOND)).isTrue();
            assertThat(crash(1, 2 * SECOND, 2 * SECOND)).isFalse();
            assertThat(mReplicas.crashes(true, 3 * SECOND))
                    .containsExactly(new Crash(ID, 1, 2 * SECOND));
        }

        @Test
        void thatAPeerSawIsNotRepeatedByThisDaemon() {
            limit();
            enter(1, 0, 0);
            mReplicas.onCrash(new Crash(ID, 1, SECOND), false, SECOND);
            assertThat(mReplicas.crashes(true, SECOND)).isEmpty();
            assertThat(mReplicas.crashes(false, SECOND)).hasSize(1);
            assertThat(mEvents).containsExactly(ColdReplicaEvent.PEER);
        }

        @Test
        void isRefutedByAResponseToAnEarlierRequest() {
            limit();
            enter(1, 0, 0);
            crash(1, SECOND, SECOND);
            mReplicas.onResponse(ID, SECOND / 2, SECOND + MILLI);
            assertThat(mReplicas.isCold(ID, SECOND + MILLI)).isTrue();
            mReplicas.onResponse(ID, SECOND + MILLI, 2 * SECOND);
            assertThat(mReplicas.isCold(ID, 2 * SECOND)).isTrue();
            mReplicas.onResponse(ID, SECOND / 2, 2 * SECOND);
            assertThat(mReplicas.isCold(ID, 2 * SECOND)).isFalse();
            assertThat(crash(1, SECOND, 3 * SECOND)).isFalse();
            assertThat(crash(1, 3 * SECOND, 3 * SECOND)).isTrue();
        }

        /** Guards against a false alarm that limits a replica for ever. */
        @Test
        void withoutAFurtherSignEnds() {
            limit();
            enter(1, 0, 0);
            crash(1, SECOND, SECOND);
            assertThat(mReplicas.isCold(ID, 31 * SECOND)).isFalse();
            mReplicas.onShares(WarmUpShares.NONE, 31 * SECOND);
            assertThat(mEvents).containsExactly(ColdReplicaEvent.CRASH, ColdReplicaEvent.ENDED);
        }
    }

    @Nested
    class AConnection {
        /** Guards against requests that waited for a connection while the replica restarted. */
        @Test
        void toAReplicaThatHasBecomeColdNeedsAPermit() {
            limit();
            enter(1, 0, 0);
            crash(1, SECOND, SECOND);
            assertThat(mReplicas.tryWrite(ID, SECOND / 2, SECOND)).isFalse();
            assertThat(mReplicas.tryWrite(ID, SECOND / 2, 2 * SECOND)).isTrue();
            assertThat(mReplicas.tryWrite(ID, SECOND / 2, 2 * SECOND)).isFalse();
        }

        @Test
        void thatOpensInTimeUsesThePermitOfItsRequest() {
            limit();
            enter(1, 60_000, 0);
            mReplicas.onSent(ID, SECOND);
            assertThat(mReplicas.tryWrite(ID, SECOND, SECOND + 90 * MILLI)).isTrue();
        }

        /** Guards against late connections whose requests all arrive at once. */
        @Test
        void thatOpensLateNeedsAnotherPermit() {
            limit();
            enter(1, 60_000, 0);
            mReplicas.onSent(ID, SECOND);
            assertThat(mReplicas.tryWrite(ID, SECOND, SECOND + 110 * MILLI)).isFalse();
        }
    }
}
