package io.persimmonreel.experiment.ownership;

import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;

/** Compares methods that run a request with an idempotency key at most once, under failures. */
public final class OwnershipComparison {
    private static final int UPSTREAM_REPLICAS = 3;
    private static final long WARM_UP_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long COOL_DOWN_NANOS = TimeUnit.SECONDS.toNanos(75);

    /** The compared methods, in the order of the design page. */
    private enum Candidate {
        OWNER("(a) owner per key", false, OwnerPerKeyMethod::new),
        CLAIMS(
                "(b) claims",
                false,
                (fleet, runCounter) -> new ClaimMethod(fleet, runCounter, false)),
        ISSUED(
                "(c) issued keys",
                true,
                (fleet, runCounter) -> new ClaimMethod(fleet, runCounter, true)),
        UPSTREAM_SHARED(
                "(d) upstream check, shared",
                false,
                (fleet, runCounter) -> new UpstreamCheckMethod(fleet, runCounter, 1)),
        UPSTREAM_REPLICA(
                "(d) upstream check, per replica",
                false,
                (fleet, runCounter) ->
                        new UpstreamCheckMethod(fleet, runCounter, UPSTREAM_REPLICAS));

        private final String mTitle;
        private final boolean mIssuedKeys;
        private final BiFunction<Fleet, RunCounter, AtMostOnceMethod> mFactory;

        Candidate(
                final String title,
                final boolean issuedKeys,
                final BiFunction<Fleet, RunCounter, AtMostOnceMethod> method) {
            mTitle = title;
            mIssuedKeys = issuedKeys;
            mFactory = method;
        }
    }

    private OwnershipComparison() {}

    /**
     * Prints for each failure and method the share of new non-idempotent requests that were
     * answered at the first try and after one retry, and the number of keys that ran twice.
     * Requests without an answer are repeated after a minute to find such keys.
     *
     * @param out receives the table
     * @param seed the seed of all random choices; equal seeds give equal output
     */
    public static void run(final PrintStream out, final long seed) {
        out.println("Share of fresh non-idempotent requests served, 7 daemons, seed " + seed);
        out.printf(
                Locale.ROOT,
                "%-28s %-32s %8s %11s %13s %11s%n",
                "failure",
                "method",
                "requests",
                "first try %",
                "after retry %",
                "double runs");
        for (final Scenario scenario : Scenario.values()) {
            for (final Candidate candidate : Candidate.values()) {
                measure(out, seed, scenario, candidate);
            }
        }
    }

    private static void measure(
            final PrintStream out,
            final long seed,
            final Scenario scenario,
            final Candidate candidate) {
        final AtomicReference<AtMostOnceMethod> method = new AtomicReference<>();
        final Fleet fleet = new Fleet(seed, daemon -> method.get().onStart(daemon));
        final RunCounter runCounter = new RunCounter();
        method.set(candidate.mFactory.apply(fleet, runCounter));
        fleet.start();
        fleet.queue().runUntil(WARM_UP_NANOS);
        final Callers callers = new Callers(fleet, method.get(), candidate.mIssuedKeys);
        scenario.schedule(fleet);
        callers.send(scenario.durationNanos(), scenario.intervalNanos());
        fleet.queue().runUntil(WARM_UP_NANOS + scenario.durationNanos() + COOL_DOWN_NANOS);
        out.printf(
                Locale.ROOT,
                "%-28s %-32s %8d %11.1f %13.1f %11d%n",
                scenario.title(),
                candidate.mTitle,
                callers.sentRequests(),
                callers.firstTryPercent(),
                callers.afterRetryPercent(),
                runCounter.countDoubleRuns());
    }
}
