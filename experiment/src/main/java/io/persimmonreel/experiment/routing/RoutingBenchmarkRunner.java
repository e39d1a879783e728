package io.persimmonreel.experiment.routing;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the benchmarks of decisions briefly, with the allocation of each decision. */
public final class RoutingBenchmarkRunner {
    private static final int ITERATIONS = 3;
    private static final int SECONDS = 1;

    private RoutingBenchmarkRunner() {}

    /**
     * Runs benchmarks.
     *
     * @param arguments the name of one, or none for all
     * @throws RunnerException if a benchmark fails
     */
    public static void main(final String[] arguments) throws RunnerException {
        new Runner(
                        new OptionsBuilder()
                                .include(arguments.length > 0 ? arguments[0] : "Benchmark")
                                .forks(1)
                                .warmupIterations(ITERATIONS)
                                .warmupTime(TimeValue.seconds(SECONDS))
                                .measurementIterations(ITERATIONS)
                                .measurementTime(TimeValue.seconds(SECONDS))
                                .addProfiler(GCProfiler.class)
                                .build())
                .run();
    }
}
