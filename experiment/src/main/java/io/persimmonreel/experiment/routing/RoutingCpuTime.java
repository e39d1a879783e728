package io.persimmonreel.experiment.routing;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Locale;

/**
 * Measures the CPU time of one routing decision. Unlike elapsed time, it does not include the time
 * in which other processes of a busy machine run.
 */
public final class RoutingCpuTime {
    private static final int WARM_UP_DECISIONS = 300_000;
    private static final int DECISIONS_PER_ROUND = 300_000;
    private static final int ROUNDS = 5;

    private RoutingCpuTime() {}

    /**
     * Prints, for each number of replicas, the CPU time of a decision: the lowest of the means of
     * several rounds.
     *
     * @param arguments not used
     */
    public static void main(final String[] arguments) {
        final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (final int replicas : new int[] {15, 200, 1000, 7100}) {
            final RoutingBenchmark benchmark = new RoutingBenchmark();
            benchmark.mReplicas = replicas;
            benchmark.prepare();
            decide(benchmark, WARM_UP_DECISIONS);
            double lowestNanos = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                final long startNanos = threads.getCurrentThreadCpuTime();
                decide(benchmark, DECISIONS_PER_ROUND);
                final double meanNanos =
                        (double) (threads.getCurrentThreadCpuTime() - startNanos)
                                / DECISIONS_PER_ROUND;
                lowestNanos = Math.min(lowestNanos, meanNanos);
            }
            System.out.printf(
                    Locale.ROOT, "%5d replicas %8.0f ns of CPU time%n", replicas, lowestNanos);
        }
    }

    private static void decide(final RoutingBenchmark benchmark, final int count) {
        for (int i = 0; i < count; i++) {
            if (benchmark.decide().isEmpty()) {
                throw new IllegalStateException("the request was not dispatched");
            }
        }
    }
}
