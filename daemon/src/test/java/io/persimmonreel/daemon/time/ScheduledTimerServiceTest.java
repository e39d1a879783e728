package io.persimmonreel.daemon.time;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ScheduledTimerServiceTest {
    private static final Duration INTERVAL = Duration.ofMillis(5);
    private static final int WAIT_SECONDS = 10;

    /** Counts two calls down, and fails in each of them. */
    private static void assertCalledAgainAfter(
            final ScheduledTimerService timers, final Throwable failure) throws Exception {
        final CountDownLatch calls = new CountDownLatch(2);
        timers.every(
                "failing",
                INTERVAL,
                now -> {
                    calls.countDown();
                    if (failure instanceof Error error) {
                        throw error;
                    }
                    throw (RuntimeException) failure;
                });
        assertThat(calls.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against an error that ends the enforcement of time-outs until a restart. */
    @Nested
    class AListenerThatFails {
        @Test
        void isCalledAgainOnAnEventLoop() throws Exception {
            final NioEventLoopGroup group = new NioEventLoopGroup(1);
            try (ScheduledTimerService timers =
                    new ScheduledTimerService(new SystemTimeSource(), group.next())) {
                assertCalledAgainAfter(timers, new IllegalStateException("expected in this test"));
                assertCalledAgainAfter(timers, new StackOverflowError("expected in this test"));
                assertCalledAgainAfter(timers, new OutOfMemoryError("expected in this test"));
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }

        @Test
        void isCalledAgainOnAThreadPool() throws Exception {
            try (ScheduledTimerService timers =
                    new ScheduledTimerService(new SystemTimeSource(), 1)) {
                assertCalledAgainAfter(timers, new StackOverflowError("expected in this test"));
            }
        }
    }
}
