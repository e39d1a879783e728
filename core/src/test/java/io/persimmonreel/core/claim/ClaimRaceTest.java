package io.persimmonreel.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.RepeatedTest;

/** Guards against a request that one thread dispatches while another reports it as not run. */
class ClaimRaceTest {
    private static final int CLAIM_COUNT = 200;

    @RepeatedTest(5)
    void dispatchAndRenounceExcludeEachOther() throws Exception {
        final ClaimFleet fleet = new ClaimFleet(3L, Duration.ofSeconds(15));
        final ClaimFleet.Call[] calls = new ClaimFleet.Call[CLAIM_COUNT];
        for (int i = 0; i < CLAIM_COUNT; i++) {
            calls[i] = fleet.call(0, fleet.uuidIdentity(fleet.trueWallMillis()), "d", -1L, false);
        }
        fleet.advance(100);
        final ClaimManager manager = fleet.mNodes[0].mManager;
        final AtomicInteger dispatched = new AtomicInteger();
        final AtomicInteger renounced = new AtomicInteger();
        final CyclicBarrier barrier = new CyclicBarrier(2);
        final Thread dispatcher =
                new Thread(
                        () -> {
                            for (final ClaimFleet.Call call : calls) {
                                await(barrier);
                                if (manager.markDispatched(call.mAttempt)) {
                                    dispatched.incrementAndGet();
                                }
                            }
                        });
        dispatcher.start();
        for (final ClaimFleet.Call call : calls) {
            await(barrier);
            if (manager.renounce(call.mAttempt)) {
                renounced.incrementAndGet();
            }
        }
        dispatcher.join();
        assertThat(dispatched.get() + renounced.get()).isEqualTo(CLAIM_COUNT);
    }

    private static void await(final CyclicBarrier barrier) {
        try {
            barrier.await();
        } catch (final Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
