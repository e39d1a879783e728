package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.core.peer.PeerMessage.UnitGrant;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UnitLotsTest {
    private static final long SLOT = UnitStock.SLOT_NANOS;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private static List<UnitLot> sendAndReceive(final List<UnitLot> lots, final long nowNanos) {
        return UnitLots.ofGrant(UnitLots.toGrant("customer", lots, nowNanos), nowNanos);
    }

    @Nested
    class OfAGrant {
        @Test
        void areThoseThatWereGiven() {
            final List<UnitLot> lots =
                    List.of(
                            new UnitLot(3, 20 * SLOT),
                            new UnitLot(4, 21 * SLOT),
                            new UnitLot(5, 30 * SLOT));
            assertThat(sendAndReceive(lots, 0)).isEqualTo(lots);
        }

        @Test
        void keepTheirOrderIfTheLastToExpireComeFirst() {
            final List<UnitLot> lots =
                    List.of(
                            new UnitLot(5, 30 * SLOT),
                            new UnitLot(4, 21 * SLOT),
                            new UnitLot(3, 20 * SLOT));
            assertThat(sendAndReceive(lots, 0)).isEqualTo(lots);
        }

        @Test
        void mustBeInOrder() {
            final List<UnitLot> lots =
                    List.of(
                            new UnitLot(3, 20 * SLOT),
                            new UnitLot(4, 19 * SLOT),
                            new UnitLot(5, 30 * SLOT));
            assertThatThrownBy(() -> sendAndReceive(lots, 0))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("in order");
        }

        @Test
        void neverLiveLongerThanTheGivenOnes() {
            final List<UnitLot> lots =
                    List.of(new UnitLot(3, 20 * SLOT), new UnitLot(4, 25 * SLOT));
            final List<UnitLot> received = sendAndReceive(lots, MILLI / 2);
            for (int i = 0; i < lots.size(); i++) {
                assertThat(lots.get(i).expiryNanos() - received.get(i).expiryNanos())
                        .isBetween(0L, MILLI);
            }
        }

        @Test
        void areBounded() {
            final List<Long> units = Collections.nCopies(UnitGrant.MAXIMUM_ELEMENTS + 1, 1L);
            assertThat(UnitLots.ofGrant(new UnitGrant("customer", 0, 50, units), 0))
                    .hasSize(UnitGrant.MAXIMUM_ELEMENTS);
        }

        @Test
        void haveNoNegativeUnits() {
            final UnitGrant grant = new UnitGrant("customer", 0, 50, List.of(-5L, 2L));
            assertThat(UnitLots.ofGrant(grant, 0)).containsExactly(new UnitLot(2, SLOT));
        }
    }
}
