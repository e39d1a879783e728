package io.persimmonreel.cli;

import io.persimmonreel.fakes.EngineStats;
import io.persimmonreel.fakes.FakeEngine;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Implements the subcommand that runs a fleet with fake upstreams in one process, sends a mixed
 * workload and checks the guarantees to callers.
 */
final class DemoCommand implements Command {
    private static final int DAEMONS = 3;
    private static final int MAXIMUM_SECONDS = 600;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration NEW_KEY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CRASH_DURATION = Duration.ofSeconds(3);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);
    private static final String CRASHED_REPLICA = "assistant-4";
    private static final String CUSTOMER_KEY = "demo-kiosks-lahore";
    private static final long PROBE_INTERVAL_MILLIS = 250;
    private static final int PERCENT = 100;

    /** Holds the logger whose level is set, since the Java runtime keeps only a weak reference. */
    private final Logger mLogger = Logger.getLogger("io.persimmonreel");

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Run a fleet and its upstreams in one process, and check the guarantees to callers.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.value("seconds", "10", "duration of the workload in seconds")
                .value("seed", "1", "seed of the workload")
                .toggle(
                        "faults",
                        "inject broken, truncated and late answers, and those of other requests")
                .toggle("hold", "keep the fleet running after the workload")
                .toggle("verbose", "show the log of the daemons");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final int seconds = flags.integer("seconds", 2, MAXIMUM_SECONDS);
        final int seed = flags.integer("seed", 0, Integer.MAX_VALUE);
        mLogger.setLevel(flags.isSet("verbose") ? Level.INFO : Level.SEVERE);
        out.println("demo: starting 15 upstream replicas, a platform and " + DAEMONS + " daemons");
        try (DemoFleet fleet = DemoFleet.start(DAEMONS)) {
            final List<String> waiting = fleet.awaitReady(START_TIMEOUT);
            if (!waiting.isEmpty()) {
                err.println("demo: the daemons are not ready: " + waiting);
                return FAILURE;
            }
            out.println("demo: callers    " + String.join(",", fleet.callerUrls()));
            out.println("demo: operators  " + String.join(",", fleet.operatorAddresses()));
            return runDemo(fleet, flags, seconds, seed, out, err);
        }
    }

    private int runDemo(
            final DemoFleet fleet,
            final FlagValues flags,
            final int seconds,
            final int seed,
            final PrintStream out,
            final PrintStream err)
            throws IOException, InterruptedException {
        final AttemptLog probeLog = new AttemptLog(fleet.configuration());
        final ServiceClient client = new ServiceClient(fleet.callerUrls(), ANSWER_TIMEOUT);
        if (!awaitNewKeys(client, probeLog, out)) {
            err.println("demo: the daemons did not accept new idempotency keys in time");
            return FAILURE;
        }
        final AttemptLog attemptLog = new AttemptLog(fleet.configuration());
        final DemoWorkload workload = new DemoWorkload(client, DAEMONS, attemptLog, seed);
        workload.start();
        final Optional<DemoFaultInjector> faults =
                flags.isSet("faults")
                        ? Optional.of(new DemoFaultInjector(fleet.upstreams()))
                        : Optional.empty();
        runWorkload(fleet, workload, attemptLog, seconds, faults, out);
        final boolean allAnswered = workload.stop();
        printResults(fleet, attemptLog, seconds, out);
        explain(fleet, attemptLog, out);
        if (flags.isSet("hold")) {
            out.println("demo: holding the fleet; end the process to stop it");
            Thread.currentThread().join();
        }
        final boolean drained = fleet.stopDaemons();
        final List<String> violations = violations(fleet, probeLog, attemptLog);
        if (!allAnswered) {
            violations.add("some requests got no answer");
        }
        if (!drained) {
            violations.add("a shutdown did not wait for the requests in progress");
        }
        return printVerdict(violations, out);
    }

    /**
     * Waits until each daemon accepts a new key, which newly started members of the claim quorum
     * can't confirm yet.
     */
    private static boolean awaitNewKeys(
            final ServiceClient client, final AttemptLog probeLog, final PrintStream out)
            throws InterruptedException {
        out.println("demo: waiting until the daemons have run long enough to vouch for keys");
        final IdempotencyKeyGenerator keys = new IdempotencyKeyGenerator();
        final long end = System.nanoTime() + NEW_KEY_TIMEOUT.toNanos();
        int accepting = 0;
        while (accepting < DAEMONS && System.nanoTime() - end < 0) {
            final String key = keys.next(System.currentTimeMillis());
            final Call call = Call.plain("charge", "{\"probe\":true}", key);
            final long start = System.nanoTime();
            final Answer answer = client.send(accepting, call, CUSTOMER_KEY, token -> {});
            probeLog.add(new Attempt(call, answer, start, System.nanoTime()));
            if (answer.isAnswered()) {
                accepting++;
            } else {
                TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
            }
        }
        return accepting == DAEMONS;
    }

    private static void runWorkload(
            final DemoFleet fleet,
            final DemoWorkload workload,
            final AttemptLog attemptLog,
            final int seconds,
            final Optional<DemoFaultInjector> faults,
            final PrintStream out)
            throws InterruptedException {
        for (int second = 1; second <= seconds; second++) {
            TimeUnit.SECONDS.sleep(1);
            out.printf(
                    Locale.ROOT,
                    "demo: %3d s  sent %5d  answered %5d  in progress %4d%n",
                    second,
                    workload.sent(),
                    attemptLog.size(),
                    workload.sent() - attemptLog.size());
            final int now = second;
            faults.ifPresent(f -> f.inject(now, out));
            if (second == seconds / 2) {
                fleet.upstreams().engines().get(CRASHED_REPLICA).crash(CRASH_DURATION);
                out.println(
                        "demo: crashed "
                                + CRASHED_REPLICA
                                + " for "
                                + CRASH_DURATION.toSeconds()
                                + " s");
            }
        }
    }

    private static List<String> violations(
            final DemoFleet fleet, final AttemptLog probeLog, final AttemptLog attemptLog) {
        final List<String> violations = new ArrayList<>();
        violations.addAll(
                attemptLog.violations(
                        fleet.upstreams().runsByKey(), fleet.upstreams().runsByRequestId()));
        violations.addAll(probeLog.violations(fleet.upstreams().runsByKey(), Map.of()));
        return violations.stream().distinct().collect(Collectors.toList());
    }

    private static void printResults(
            final DemoFleet fleet,
            final AttemptLog attemptLog,
            final int seconds,
            final PrintStream out) {
        out.println();
        out.println("goodput by tier (whole answers within their objective)");
        attemptLog.printGoodput(out, seconds);
        long processed = 0;
        long wasted = 0;
        for (final FakeEngine engine : fleet.upstreams().engines().values()) {
            final EngineStats stats = engine.stats();
            processed += stats.prefillTokensDone();
            wasted += stats.prefillTokensDiscarded() + stats.prefillTokensRestarted();
        }
        out.printf(
                Locale.ROOT,
                "%nwasted prefill (restarted or discarded) %d of %d tokens, %.2f%%%n",
                wasted,
                processed,
                processed == 0 ? 0.0 : PERCENT * (double) wasted / processed);
        out.println();
        out.println("outcomes");
        attemptLog.printOutcomes(out);
        out.println();
    }

    /** Prints the decisions about an engine request without an answer, or else the last request. */
    private static void explain(
            final DemoFleet fleet, final AttemptLog attemptLog, final PrintStream out)
            throws IOException, InterruptedException {
        String id = "";
        for (final Attempt attempt : attemptLog.attempts()) {
            final String candidate = attempt.answer().requestId();
            if (!candidate.isEmpty()) {
                id = candidate;
                if (!attempt.answer().isAnswered() && attempt.call().isEngine()) {
                    break;
                }
            }
        }
        out.println("explain " + id);
        try {
            final FlagValues flags =
                    new FlagValues(
                            Map.of(
                                    "request",
                                    id,
                                    "operators",
                                    String.join(",", fleet.operatorAddresses())));
            new ExplainCommand().run(flags, out, out);
        } catch (final BadInputException e) {
            out.println("demo: " + e.getMessage());
        }
        out.println();
    }

    private static int printVerdict(final List<String> violations, final PrintStream out) {
        violations.forEach(violation -> out.println("demo: violated: " + violation));
        if (violations.isEmpty()) {
            out.println(
                    "demo: held: each key ran at most once, each answer was whole and its own,\n"
                            + "demo: held: no run was reported as not run, no request was"
                            + " dispatched twice");
        }
        out.println("demo: see 'demo --hold' for a fleet to examine with send, report, explain,");
        out.println("demo: 'experiment' for the policies and docs/design.md for the promises");
        return violations.isEmpty() ? OK : FAILURE;
    }
}
