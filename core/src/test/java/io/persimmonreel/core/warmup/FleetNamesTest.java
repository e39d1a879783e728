package io.persimmonreel.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.Standing;
import io.persimmonreel.core.quota.FleetShare;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetNamesTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int DAEMONS = 20;
    private static final long REPLICA = 42;
    private static final WarmUpRate RATE = new WarmUpRate(14, 8);

    private final List<String> mNames = new ArrayList<>();

    /** Returns the number of daemons that may send, if each knows some of the others by itself. */
    private long senders(final int known, final boolean listsAll, final long nowNanos) {
        return mNames.stream()
                .filter(
                        self -> {
                            final FleetShare fleet = new FleetShare(false, 0, 0);
                            fleet.onSeeds(self, List.of(self));
                            fleet.onPeerState(Standing.MEMBER, DAEMONS, true, List.of(), 0);
                            mNames.stream()
                                    .filter(name -> !name.equals(self))
                                    .limit(known)
                                    .forEach(name -> fleet.onHeard(name, 2 * SECOND));
                            final FleetNames names = new FleetNames();
                            if (listsAll) {
                                names.onListed(mNames, 2 * SECOND);
                            }
                            return names.shares(self, fleet, nowNanos).perSecond(REPLICA, RATE) > 0;
                        })
                .count();
    }

    FleetNamesTest() {
        for (int i = 0; i < DAEMONS; i++) {
            mNames.add("10.0.0." + i + ":7600");
        }
    }

    @Nested
    class Senders {
        @Test
        void areAsManyAsTheRateAllowsIfAllNamesAreListed() {
            assertThat(senders(3, true, 3 * SECOND)).isEqualTo(RATE.senders());
        }

        /** Guards against leaves that all count themselves among the first of a few. */
        @Test
        void areFewerIfNamesAreMissing() {
            assertThat(senders(3, false, 3 * SECOND)).isZero();
            assertThat(senders(DAEMONS - 2, false, 3 * SECOND))
                    .isBetween(1L, (long) RATE.senders());
        }

        @Test
        void areNoneSomeTimeAfterTheLastList() {
            assertThat(senders(3, true, 33 * SECOND)).isZero();
        }
    }
}
