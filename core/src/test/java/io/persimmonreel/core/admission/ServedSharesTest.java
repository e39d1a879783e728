package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServedSharesTest {
    private static final List<Integer> RANKS = List.of(0, 1);

    private final ServedShares mShares = new ServedShares();

    private void add(final int rank, final int arrived, final int sent) {
        for (int i = 0; i < arrived; i++) {
            mShares.onArrived(rank, 0);
        }
        for (int i = 0; i < sent; i++) {
            mShares.onSent(rank, 0);
        }
    }

    private boolean isBehind(final int rank) {
        return mShares.isBehindLower(rank, RANKS, 0);
    }

    /** Guards against ranks that are served less often than lower ones. */
    @Nested
    class ARank {
        @Test
        void isBehindALowerRankThatIsServedMoreOften() {
            add(0, 100, 80);
            add(1, 100, 90);
            assertThat(isBehind(0)).isTrue();
        }

        @Test
        void isNotBehindALowerRankThatIsServedLessOften() {
            add(0, 100, 90);
            add(1, 100, 80);
            assertThat(isBehind(0)).isFalse();
        }

        @Test
        void isNotBehindAHigherRank() {
            add(0, 100, 90);
            add(1, 100, 80);
            assertThat(isBehind(1)).isFalse();
        }

        @Test
        void isComparedToTheNamedRanksOnly() {
            add(0, 100, 80);
            add(1, 100, 90);
            assertThat(mShares.isBehindLower(0, List.of(0, 2), 0)).isTrue();
            add(2, 100, 70);
            assertThat(mShares.isBehindLower(0, List.of(0, 2), 0)).isFalse();
        }
    }

    /** Guards against a burst that decides on requests minutes later. */
    @Nested
    class EarlierRequests {
        @Test
        void countLessThanRecentOnes() {
            add(0, 100, 0);
            add(1, 100, 100);
            final long later = TimeUnit.SECONDS.toNanos(60);
            for (int i = 0; i < 10; i++) {
                mShares.onArrived(0, later);
                mShares.onSent(0, later);
                mShares.onArrived(1, later);
            }
            assertThat(mShares.isBehindLower(0, RANKS, later)).isFalse();
        }
    }
}
