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

/** Runs a fleet with stand-ins in one process, sends mixed work and checks the promises. */
final class DemoCommand implements Command {
    private static final int DAEMONS = 3;
    private static final int MAXIMUM_SECONDS = 600;
    private static final Duration START_TIME = Duration.ofSeconds(20);
    private static final Duration VOUCH_TIME = Duration.ofSeconds(30);
    private static final Duration DOWNTIME = Duration.ofSeconds(3);
    private static final Duration ANSWER_TIME = Duration.ofSeconds(60);
    private static final String CRASHED = "assistant-4";
    private static final String CUSTOMER_KEY = "demo-kiosks-lahore";
    private static final long PROBE_MILLIS = 250;
    private static final int PERCENT = 100;

    /** Holds the logger whose level is set, since the platform keeps only weak references. */
    private final Logger mLogger = Logger.getLogger("io.persimmonreel");

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Run a fleet and its upstreams in one process, and check the promises.";
    }

    @Override
    public void declare(final FlagSet flags) {
        flags.value("seconds", "10", "duration of the workload")
                .value("seed", "1", "seed of the workload")
                .toggle("faults", "inject broken, crossed, truncated and late answers")
                .toggle("hold", "keep the fleet running after the workload")
                .toggle("verbose", "show the log of the daemons");
    }

    @Override
    public int run(final Flags flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final int seconds = flags.integer("seconds", 2, MAXIMUM_SECONDS);
        final int seed = flags.integer("seed", 0, Integer.MAX_VALUE);
        mLogger.setLevel(flags.isSet("verbose") ? Level.INFO : Level.SEVERE);
        out.println("demo: starting 15 upstream replicas, a platform and " + DAEMONS + " daemons");
        try (DemoFleet fleet = DemoFleet.start(DAEMONS)) {
            final List<String> waiting = fleet.awaitReady(START_TIME);
            if (!waiting.isEmpty()) {
                err.println("demo: the daemons are not ready: " + waiting);
                return FAILURE;
            }
            out.println("demo: callers    " + String.join(",", fleet.entries()));
            out.println("demo: operators  " + String.join(",", fleet.operators()));
            return run(fleet, flags, seconds, seed, out, err);
        }
    }

    private int run(
            final DemoFleet fleet,
            final Flags flags,
            final int seconds,
            final int seed,
            final PrintStream out,
            final PrintStream err)
            throws IOException, InterruptedException {
        final Ledger probes = new Ledger(fleet.configuration());
        final ServiceClient client = new ServiceClient(fleet.entries(), ANSWER_TIME);
        if (!awaitVouching(client, probes, out)) {
            err.println("demo: the daemons did not vouch for keys in time");
            return FAILURE;
        }
        final Ledger ledger = new Ledger(fleet.configuration());
        final DemoWorkload workload = new DemoWorkload(client, DAEMONS, ledger, seed);
        workload.start();
        final Optional<DemoFaults> faults =
                flags.isSet("faults")
                        ? Optional.of(new DemoFaults(fleet.upstreams()))
                        : Optional.empty();
        drive(fleet, workload, ledger, seconds, faults, out);
        final boolean ended = workload.stop();
        print(fleet, ledger, seconds, out);
        explain(fleet, ledger, out);
        if (flags.isSet("hold")) {
            out.println("demo: holding the fleet; end the process to stop it");
            Thread.currentThread().join();
        }
        final boolean drained = fleet.stopDaemons();
        final List<String> violations = violations(fleet, probes, ledger);
        if (!ended) {
            violations.add("some requests got no answer");
        }
        if (!drained) {
            violations.add("a shutdown did not wait for the requests in progress");
        }
        return verdict(violations, out);
    }

    /** Waits until fresh members of the claim quorum may vouch for callers' keys. */
    private static boolean awaitVouching(
            final ServiceClient client, final Ledger probes, final PrintStream out)
            throws InterruptedException {
        out.println("demo: waiting until the daemons have run long enough to vouch for keys");
        final KeyMaker keys = new KeyMaker();
        final long end = System.nanoTime() + VOUCH_TIME.toNanos();
        int vouching = 0;
        while (vouching < DAEMONS && System.nanoTime() - end < 0) {
            final String key = keys.next(System.currentTimeMillis());
            final Call call = Call.plain("charge", "{\"probe\":true}", key);
            final long start = System.nanoTime();
            final Answer answer = client.send(vouching, call, CUSTOMER_KEY, token -> {});
            probes.add(new Attempt(call, answer, start, System.nanoTime()));
            if (answer.isAnswered()) {
                vouching++;
            } else {
                TimeUnit.MILLISECONDS.sleep(PROBE_MILLIS);
            }
        }
        return vouching == DAEMONS;
    }

    private static void drive(
            final DemoFleet fleet,
            final DemoWorkload workload,
            final Ledger ledger,
            final int seconds,
            final Optional<DemoFaults> faults,
            final PrintStream out)
            throws InterruptedException {
        for (int second = 1; second <= seconds; second++) {
            TimeUnit.SECONDS.sleep(1);
            out.printf(
                    Locale.ROOT,
                    "demo: %3d s  sent %5d  answered %5d  in progress %4d%n",
                    second,
                    workload.sent(),
                    ledger.size(),
                    workload.sent() - ledger.size());
            final int now = second;
            faults.ifPresent(f -> f.inject(now, out));
            if (second == seconds / 2) {
                fleet.upstreams().engines().get(CRASHED).crash(DOWNTIME);
                out.println("demo: crashed " + CRASHED + " for " + DOWNTIME.toSeconds() + " s");
            }
        }
    }

    private static List<String> violations(
            final DemoFleet fleet, final Ledger probes, final Ledger ledger) {
        final List<String> violations = new ArrayList<>();
        violations.addAll(
                ledger.violations(
                        fleet.upstreams().runsByKey(), fleet.upstreams().runsByRequestId()));
        violations.addAll(probes.violations(fleet.upstreams().runsByKey(), Map.of()));
        return violations.stream().distinct().collect(Collectors.toList());
    }

    private static void print(
            final DemoFleet fleet, final Ledger ledger, final int seconds, final PrintStream out) {
        out.println();
        out.println("goodput by tier (whole answers within their objective)");
        ledger.printGoodput(out, seconds);
        long done = 0;
        long wasted = 0;
        for (final FakeEngine engine : fleet.upstreams().engines().values()) {
            final EngineStats stats = engine.stats();
            done += stats.prefillTokensDone();
            wasted += stats.prefillTokensDiscarded() + stats.prefillTokensRestarted();
        }
        out.printf(
                Locale.ROOT,
                "%nwasted prefill (restarted or discarded) %d of %d tokens, %.2f%%%n",
                wasted,
                done,
                done == 0 ? 0.0 : PERCENT * (double) wasted / done);
        out.println();
        out.println("outcomes");
        ledger.printOutcomes(out);
        out.println();
    }

    /** Prints the decisions about one request that was not answered, or else about the last. */
    private static void explain(final DemoFleet fleet, final Ledger ledger, final PrintStream out)
            throws IOException, InterruptedException {
        String id = "";
        for (final Attempt attempt : ledger.attempts()) {
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
            final Flags flags =
                    new Flags(
                            Map.of(
                                    "request",
                                    id,
                                    "operators",
                                    String.join(",", fleet.operators())));
            new ExplainCommand().run(flags, out, out);
        } catch (final BadInputException e) {
            out.println("demo: " + e.getMessage());
        }
        out.println();
    }

    private static int verdict(final List<String> violations, final PrintStream out) {
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
