package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UnitStockTest {
    private static final long SLOT = UnitStock.SLOT_NANOS;
    private final UnitStock mStock = new UnitStock();

    @Nested
    class Units {
        @Test
        void expireNoLaterThanTheirTime() {
            mStock.add(10, 3 * SLOT + 1);
            assertThat(mStock.total(3 * SLOT - 1)).isEqualTo(10);
            assertThat(mStock.total(3 * SLOT)).isZero();
        }

        @Test
        void areTakenInOrderOfExpiry() {
            mStock.add(10, 5 * SLOT);
            mStock.add(10, 3 * SLOT);
            assertThat(mStock.take(15, 0, 0))
                    .containsExactly(new UnitLot(10, 3 * SLOT), new UnitLot(5, 5 * SLOT));
            assertThat(mStock.total(0)).isEqualTo(5);
        }

        @Test
        void areNotTakenIfTooFewLiveLongEnough() {
            mStock.add(10, 5 * SLOT);
            mStock.add(10, 3 * SLOT);
            assertThat(mStock.take(15, 4 * SLOT, 0)).isEmpty();
            assertThat(mStock.total(0)).isEqualTo(20);
            assertThat(mStock.take(10, 4 * SLOT, 0)).containsExactly(new UnitLot(10, 5 * SLOT));
        }

        @Test
        void areGivenAwayFromTheLatestExpiry() {
            mStock.add(10, 5 * SLOT);
            mStock.add(10, 3 * SLOT);
            assertThat(mStock.takeBeyond(8, 0, 0))
                    .containsExactly(new UnitLot(10, 5 * SLOT), new UnitLot(2, 3 * SLOT));
            assertThat(mStock.total(0)).isEqualTo(8);
        }

        @Test
        void areReducedInNumberAndLife() {
            mStock.addAll(List.of(new UnitLot(10, 5 * SLOT), new UnitLot(10, 3 * SLOT)));
            mStock.reduce(0.5, 4 * SLOT);
            assertThat(mStock.total(0)).isEqualTo(10);
            assertThat(mStock.total(4 * SLOT)).isZero();
        }
    }
}
