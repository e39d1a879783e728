package io.persimmonreel.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.request.RequestIdentity;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Guards against double dispatch and wrong reports of outcomes under random faults, 7 daemons. */
class ClaimPropertyTest {
    private static final int KEY_COUNT = 30;
    private static final int FAULT_COUNT = 12;
    private static final int ACTIVITY_SPAN_MILLIS = 40_000;

    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void keyedRequestsRunAtMostOnceAndNotRunIsCorrect(@ForAll final long seed) {
        final ClaimFleet fleet = new ClaimFleet(seed, Duration.ofSeconds(20));
        final Random random = fleet.mRandom;
        fleet.mLossProbability = random.nextInt(3) * 0.05;
        fleet.mDelayRangeMicros = random.nextBoolean() ? 2_000 : 400_000;
        for (int i = 0; i < KEY_COUNT; i++) {
            fleet.scheduleAfter(
                    random.nextInt(ACTIVITY_SPAN_MILLIS) * 1000L,
                    () -> sendRequests(fleet, random));
        }
        for (int i = 0; i < FAULT_COUNT; i++) {
            fleet.scheduleAfter(
                    random.nextInt(ACTIVITY_SPAN_MILLIS) * 1000L, () -> injectFault(fleet, random));
        }
        fleet.advance(2 * ACTIVITY_SPAN_MILLIS);
        assertThat(fleet.mViolations).isEmpty();
        assertThat(fleet.mCalls)
                .filteredOn(call -> !call.mNode.mStopped)
                .allMatch(call -> call.mResultCount == 1);
    }

    /** Guards against a property above that holds only because nothing is dispatched. */
    @Property(tries = 1, seed = "1")
    void mostFreshRequestsRunWithoutFaults() {
        final ClaimFleet fleet = new ClaimFleet(1L, Duration.ofSeconds(20));
        final AtomicInteger ran = new AtomicInteger();
        for (int i = 0; i < 100; i++) {
            final RequestIdentity identity = fleet.uuidIdentity(fleet.trueWallMillis());
            fleet.call(i % ClaimFleet.SIZE, identity, "d");
            fleet.advance(200);
            ran.addAndGet(fleet.dispatchCount(identity));
        }
        assertThat(ran.get()).isEqualTo(100);
        assertThat(fleet.mViolations).isEmpty();
    }

    /** Guards against two simultaneous attempts that split the members and both fail. */
    @Property(tries = 1, seed = "1")
    void secondRoundResolvesMostSplitVotes() {
        final ClaimFleet fleet = new ClaimFleet(2L, Duration.ofSeconds(20));
        int ran = 0;
        for (int i = 0; i < 100; i++) {
            final RequestIdentity identity = fleet.uuidIdentity(fleet.trueWallMillis());
            fleet.call(i % ClaimFleet.SIZE, identity, "d");
            fleet.call((i + 3) % ClaimFleet.SIZE, identity, "d");
            fleet.advance(1_500);
            ran += fleet.dispatchCount(identity);
        }
        assertThat(ran).isBetween(90, 100);
        assertThat(fleet.mViolations).isEmpty();
    }

    /** Sends 1 to 4 requests with a fresh key to random daemons, at once or within 15 s. */
    private static void sendRequests(final ClaimFleet fleet, final Random random) {
        final RequestIdentity identity;
        final int keyKind = random.nextInt(3);
        if (keyKind == 0) {
            identity = fleet.uuidIdentity(fleet.trueWallMillis() + random.nextInt(2000) - 1000);
        } else if (keyKind == 1) {
            final ClaimFleet.Node issuer = fleet.mNodes[random.nextInt(ClaimFleet.SIZE)];
            identity = ClaimFleet.identity(issuer.mManager.issueKey());
        } else {
            identity = ClaimFleet.identity("opaque-" + random.nextLong());
        }
        final int requestCount = 1 + random.nextInt(4);
        for (int i = 0; i < requestCount; i++) {
            final long delay =
                    random.nextBoolean() ? random.nextInt(5_000) : random.nextInt(15_000_000);
            final boolean renounces = random.nextInt(3) == 0;
            final long dispatchDelay = random.nextInt(200_000);
            fleet.scheduleAfter(
                    delay,
                    () ->
                            fleet.call(
                                    random.nextInt(ClaimFleet.SIZE),
                                    identity,
                                    "d",
                                    dispatchDelay,
                                    renounces));
        }
    }

    private static void injectFault(final ClaimFleet fleet, final Random random) {
        final int slot = random.nextInt(ClaimFleet.SIZE);
        switch (random.nextInt(3)) {
            case 0:
                fleet.pause(slot, 100 + random.nextInt(10_000));
                break;
            case 1:
                fleet.restart(slot);
                break;
            default:
                final int side = random.nextInt(1 << ClaimFleet.SIZE);
                fleet.mConnected = (from, to) -> (side >> from & 1) == (side >> to & 1);
                fleet.scheduleAfter(
                        random.nextInt(6_000_000), () -> fleet.mConnected = (from, to) -> true);
                break;
        }
    }
}
