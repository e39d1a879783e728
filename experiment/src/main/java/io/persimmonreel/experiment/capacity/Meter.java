package io.persimmonreel.experiment.capacity;

import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/** Measures retained heap memory and run times in this process. */
final class Meter {
    private static final int GC_CYCLES = 4;
    private static final long GC_PAUSE_MILLIS = 60;
    private static final int ROUNDS = 7;
    private static final double BYTES_PER_MEGABYTE = 1_000_000.0;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private Meter() {}

    /**
     * Measures the heap memory that a value retains.
     *
     * @param supplier creates the value
     * @return megabytes
     * @throws InterruptedException if the thread is interrupted
     */
    static double retainedMegabytes(final Supplier<Object> supplier) throws InterruptedException {
        final long before = usedHeapBytes();
        final Object value = supplier.get();
        final long after = usedHeapBytes();
        Reference.reachabilityFence(value);
        return (after - before) / BYTES_PER_MEGABYTE;
    }

    /**
     * Measures the time of one run of a task, as the median of several rounds.
     *
     * @param runsPerRound the runs in one round
     * @param task the task
     * @return microseconds per run
     */
    static double medianMicros(final int runsPerRound, final Runnable task) {
        final double[] rounds = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            final long start = System.nanoTime();
            for (int i = 0; i < runsPerRound; i++) {
                task.run();
            }
            rounds[round] = (System.nanoTime() - start) / NANOS_PER_MICRO / runsPerRound;
        }
        Arrays.sort(rounds);
        return rounds[ROUNDS / 2];
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < GC_CYCLES; i++) {
            System.gc();
            Thread.sleep(GC_PAUSE_MILLIS);
        }
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
