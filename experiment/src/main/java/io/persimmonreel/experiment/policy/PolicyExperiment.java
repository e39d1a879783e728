package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.service.Tier;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Compares the fleet scheduler with baseline policies and an oracle in virtual time. */
public final class PolicyExperiment {
    static final String FLEET_SCHEDULER = "persimmonreel";
    static final String ORACLE = "oracle";
    static final List<String> BASELINES = List.of("round-robin", "least-reported", "two-choices");

    /** Number of runs in parallel; runs are independent, so the results do not depend on it. */
    private static final int CONCURRENT_RUNS = 4;

    private PolicyExperiment() {}

    /**
     * Runs the experiment and prints the results and the verdicts on the targets.
     *
     * @param out the stream to print to
     * @param seed the seed; the same seed gives the same output
     * @param quick whether to do only the runs that the targets name, with a shorter measured time
     * @return the verdicts
     * @throws InterruptedException if the thread is interrupted
     */
    public static List<Targets.Verdict> run(
            final PrintStream out, final long seed, final boolean quick)
            throws InterruptedException {
        final List<RunResult> results = runAll(seed, quick);
        return print(out, results);
    }

    /**
     * Runs the experiment, prints the results and the verdicts, and draws plots.
     *
     * @param out the stream to print to
     * @param seed the seed; the same seed gives the same output
     * @param quick whether to do only the runs that the targets name, with a shorter measured time
     * @param plots the directory for plots, empty for no plots
     * @return the verdicts
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if a plot can't be written
     */
    public static List<Targets.Verdict> run(
            final PrintStream out, final long seed, final boolean quick, final Optional<Path> plots)
            throws InterruptedException, IOException {
        final List<RunResult> results = runAll(seed, quick);
        if (plots.isPresent()) {
            Plots.write(results, plots.get());
        }
        return print(out, results);
    }

    /**
     * Runs the experiment from the command line.
     *
     * @param arguments the seed, {@code quick} or {@code full}, and optionally a directory for
     *     plots
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if a plot can't be written
     */
    public static void main(final String[] arguments) throws InterruptedException, IOException {
        final long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        final boolean quick = arguments.length < 2 || !arguments[1].equals("full");
        run(
                System.out,
                seed,
                quick,
                arguments.length > 2 ? Optional.of(Path.of(arguments[2])) : Optional.empty());
    }

    static List<RunResult> runAll(final long seed, final boolean quick)
            throws InterruptedException {
        final ExecutorService executor = Executors.newFixedThreadPool(CONCURRENT_RUNS);
        try {
            final List<Future<List<RunResult>>> futures = new ArrayList<>();
            for (final Deployment deployment :
                    List.of(Deployment.saafPaws(), Deployment.songHong())) {
                for (final RunSpec run : RunSpec.all(quick)) {
                    futures.add(
                            executor.submit(() -> runAllPolicies(deployment, run, seed, quick)));
                }
            }
            final List<RunResult> results = new ArrayList<>();
            for (final Future<List<RunResult>> future : futures) {
                results.addAll(future.get());
            }
            return results;
        } catch (final ExecutionException e) {
            throw new IllegalStateException("a run of the experiment failed", e.getCause());
        } finally {
            executor.shutdownNow();
        }
    }

    private static List<RunResult> runAllPolicies(
            final Deployment deployment, final RunSpec run, final long seed, final boolean quick) {
        final Workload workload = Workload.generate(deployment, run, seed, quick);
        final List<String> policyNames = new ArrayList<>(List.of(FLEET_SCHEDULER));
        policyNames.addAll(BASELINES);
        policyNames.add(ORACLE);
        final List<RunResult> results = new ArrayList<>();
        for (final String policyName : policyNames) {
            final Simulation simulation = new Simulation(deployment, run, workload, seed);
            results.add(simulation.run(policyName, createPolicies(policyName, simulation, seed)));
        }
        return results;
    }

    /** Does one quick run with the fleet scheduler alone. */
    static RunResult runFleetScheduler(
            final Deployment deployment, final RunSpec run, final long seed) {
        final Workload workload = Workload.generate(deployment, run, seed, true);
        final Simulation simulation = new Simulation(deployment, run, workload, seed);
        return simulation.run(FLEET_SCHEDULER, createPolicies(FLEET_SCHEDULER, simulation, seed));
    }

    /** Creates the policy of each daemon; all daemons share one oracle. */
    private static List<Policy> createPolicies(
            final String policyName, final Simulation simulation, final long seed) {
        final List<Policy> policies = new ArrayList<>();
        final Policy oracle = new OraclePolicy(simulation);
        for (int i = 0; i < Deployment.DAEMONS; i++) {
            policies.add(
                    switch (policyName) {
                        case FLEET_SCHEDULER -> new FleetSchedulerPolicy(simulation, i, seed);
                        case ORACLE -> oracle;
                        case "round-robin" ->
                                new BaselinePolicy(
                                        simulation, BaselinePolicy::roundRobin, seed + i);
                        case "least-reported" ->
                                new BaselinePolicy(
                                        simulation, BaselinePolicy::leastReportedLoad, seed + i);
                        default ->
                                new BaselinePolicy(
                                        simulation, BaselinePolicy::twoChoices, seed + i);
                    });
        }
        return policies;
    }

    private static List<Targets.Verdict> print(
            final PrintStream out, final List<RunResult> results) {
        out.printf(
                Locale.ROOT,
                "%-10s %-16s %-15s %-16s %-16s %-16s %8s %7s%n",
                "user",
                "run",
                "policy",
                "urgent /s share",
                "normal /s share",
                "bulk /s share",
                "total /s",
                "wasted");
        for (final RunResult result : results) {
            out.printf(
                    Locale.ROOT,
                    "%-10s %-16s %-15s %s %s %s %8.2f %6.2f%%%n",
                    result.deployment(),
                    result.run(),
                    result.policy(),
                    formatTier(result, Tier.URGENT),
                    formatTier(result, Tier.NORMAL),
                    formatTier(result, Tier.BULK),
                    result.totalGoodPerSecond(),
                    result.wastedPrefillShare() * 100);
        }
        final List<Targets.Verdict> verdicts = Targets.check(results);
        verdicts.forEach(out::println);
        return verdicts;
    }

    private static String formatTier(final RunResult result, final Tier tier) {
        return String.format(
                Locale.ROOT,
                "%8.2f %6.2f%%",
                result.goodPerSecond(tier),
                result.goodShare(tier) * 100);
    }
}
