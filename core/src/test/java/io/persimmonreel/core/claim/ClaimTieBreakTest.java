package io.persimmonreel.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.request.RequestIdentity;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against two daemons that claim one identity at the same time, each grant their own claim
 * and so both miss the quorum of two, because the third daemon is stopped.
 */
class ClaimTieBreakTest {
    private static final int PAIR_COUNT = 100;
    private static final int MAXIMUM_GAP_MILLIS = 3;

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "4, false", "5, false", "6, false"})
    void simultaneousPairsRunExactlyOnce(final long seed, final boolean stopIsKnown) {
        final ClaimFleet fleet = new ClaimFleet(seed, Duration.ofSeconds(15), 3);
        fleet.stop(2);
        if (stopIsKnown) {
            fleet.updateLiveMembers(fleet.mNodes[0]);
            fleet.updateLiveMembers(fleet.mNodes[1]);
        }
        final List<RequestIdentity> identities = new ArrayList<>();
        for (int i = 0; i < PAIR_COUNT; i++) {
            final RequestIdentity identity = fleet.uuidIdentity(fleet.trueWallMillis());
            identities.add(identity);
            fleet.call(0, identity, "d");
            fleet.call(1, identity, "d");
            fleet.advance(20);
        }
        fleet.advance(10_000);
        assertThat(fleet.mViolations).isEmpty();
        assertThat(
                        identities.stream()
                                .filter(identity -> fleet.dispatchCount(identity) == 1)
                                .count())
                .isEqualTo(PAIR_COUNT);
        assertThat(fleet.mCalls).allMatch(call -> call.mResultCount == 1);
    }

    /**
     * Guards against an attempt that yields while a grant for it is in flight, so that both run.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "1, false", "2, false", "3, false"})
    void pairsMillisecondsApartNeverRunTwice(final long seed, final boolean stopIsKnown) {
        final ClaimFleet fleet = new ClaimFleet(seed, Duration.ofSeconds(15), 3);
        final Random random = new Random(seed);
        fleet.stop(2);
        if (stopIsKnown) {
            fleet.updateLiveMembers(fleet.mNodes[0]);
            fleet.updateLiveMembers(fleet.mNodes[1]);
        }
        final List<RequestIdentity> identities = new ArrayList<>();
        for (int i = 0; i < PAIR_COUNT; i++) {
            final RequestIdentity identity = fleet.uuidIdentity(fleet.trueWallMillis());
            identities.add(identity);
            fleet.call(i % 2, identity, "d");
            fleet.advance(random.nextInt(MAXIMUM_GAP_MILLIS + 1));
            fleet.call(1 - i % 2, identity, "d");
            fleet.advance(20);
        }
        fleet.advance(10_000);
        assertThat(fleet.mViolations).isEmpty();
        assertThat(identities).allMatch(identity -> fleet.dispatchCount(identity) <= 1);
        assertThat(fleet.mCalls).allMatch(call -> call.mResultCount == 1);
    }
}
