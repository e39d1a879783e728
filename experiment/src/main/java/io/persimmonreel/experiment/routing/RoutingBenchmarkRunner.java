package io.persimmonreel.experiment.routing;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the benchmarks of this package for a short time and reports time and memory allocation. */
public final class RoutingBenchmarkRunner {
    private static final int ITERATIONS = 3;
    private static final int ITERATION_SECONDS = 1;

    private RoutingBenchmarkRunner() {}

    /**
     * Runs benchmarks.
     *
     * @param arguments a regular expression for the benchmark names, or nothing to run all
     * @throws RunnerException if a benchmark fails
     */
    public static void main(final String[] arguments) throws RunnerException {
        new Runner(
                        new OptionsBuilder()
                                .include(arguments.length > 0 ? arguments[0] : "Benchmark")
                                .forks(1)
                                .warmupIterations(ITERATIONS)
                                .warmupTime(TimeValue.seconds(ITERATION_SECONDS))
                                .measurementIterations(ITERATIONS)
                                .measurementTime(TimeValue.seconds(ITERATION_SECONDS))
                                .addProfiler(GCProfiler.class)
                                .build())
                .run();
    }
}
