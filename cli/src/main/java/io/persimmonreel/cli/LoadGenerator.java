package io.persimmonreel.cli;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;

/**
 * Generates an open-loop load: starts requests at a fixed rate, whether or not earlier ones were
 * answered, up to a limit of requests in progress.
 */
final class LoadGenerator {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mRatePerSecond;
    private final double mSeconds;
    private final int mConcurrency;
    private final long mDrainSeconds;

    /**
     * Creates a load generator.
     *
     * @param ratePerSecond the number of requests to start per second
     * @param seconds the duration of the load in seconds
     * @param concurrency the maximum number of requests in progress; requests above it are counted
     *     as not sent
     * @param drainSeconds the maximum time to wait for the last answers, in seconds
     */
    LoadGenerator(
            final double ratePerSecond,
            final double seconds,
            final int concurrency,
            final long drainSeconds) {
        mRatePerSecond = ratePerSecond;
        mSeconds = seconds;
        mConcurrency = concurrency;
        mDrainSeconds = drainSeconds;
    }

    /** Sends one request. Implementations are thread safe. */
    interface Sender {
        Answer send(Call call) throws InterruptedException;
    }

    /** Runs the load and returns when all answers arrived or the drain time is over. */
    void run(final IntFunction<Call> calls, final Sender sender, final LoadResult result)
            throws InterruptedException {
        final ExecutorService threads = Executors.newCachedThreadPool();
        final Semaphore permits = new Semaphore(mConcurrency);
        final AtomicBoolean collecting = new AtomicBoolean(true);
        final long startNanos = System.nanoTime();
        final int count = (int) Math.max(1, Math.round(mRatePerSecond * mSeconds));
        for (int i = 0; i < count; i++) {
            final long plannedNanos =
                    startNanos + Math.round(i / mRatePerSecond * NANOS_PER_SECOND);
            TimeUnit.NANOSECONDS.sleep(plannedNanos - System.nanoTime());
            if (!permits.tryAcquire()) {
                result.addNotSent();
                continue;
            }
            final Call call = calls.apply(i);
            threads.execute(
                    () -> {
                        final long delayNanos = System.nanoTime() - plannedNanos;
                        final Answer answer = sendOnce(sender, call);
                        permits.release();
                        if (collecting.get()) {
                            result.add(answer, delayNanos);
                        }
                    });
        }
        threads.shutdown();
        if (!threads.awaitTermination(mDrainSeconds, TimeUnit.SECONDS)) {
            collecting.set(false);
            threads.shutdownNow();
            final int unanswered = mConcurrency - permits.availablePermits();
            for (int i = 0; i < unanswered; i++) {
                result.add(Answer.lost(0, "", "no answer in time"), 0);
            }
        }
    }

    private static Answer sendOnce(final Sender sender, final Call call) {
        try {
            return sender.send(call);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.lost(0, "", "interrupted");
        }
    }
}
