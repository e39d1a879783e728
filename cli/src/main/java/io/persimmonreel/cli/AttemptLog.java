package io.persimmonreel.cli;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records the attempts of callers and checks their answers against what the upstreams ran.
 * Instances are thread safe.
 */
final class AttemptLog {
    private static final String NOT_RUN = "not-run";
    private static final int PERCENT = 100;

    private final Configuration mConfiguration;
    private final List<Attempt> mAttempts = new ArrayList<>();

    AttemptLog(final Configuration configuration) {
        mConfiguration = configuration;
    }

    synchronized void add(final Attempt attempt) {
        mAttempts.add(attempt);
    }

    synchronized int size() {
        return mAttempts.size();
    }

    /** Returns the attempts so far. */
    synchronized List<Attempt> attempts() {
        return List.copyOf(mAttempts);
    }

    /**
     * Checks the guarantees to callers: no key runs twice, no request is dispatched twice, and
     * every answer is correct and truthful.
     *
     * @param runsByKey how often each idempotency key ran, over all plain services
     * @param dispatches how often each request was dispatched, by request id, over all upstreams
     * @return the violations, one sentence each; empty if all guarantees held
     */
    List<String> violations(
            final Map<String, Integer> runsByKey, final Map<String, Integer> dispatches) {
        final List<String> violations = new ArrayList<>();
        runsByKey.forEach(
                (key, runs) -> {
                    if (runs > 1) {
                        violations.add("key " + key + " ran " + runs + " times");
                    }
                });
        dispatches.forEach(
                (id, runs) -> {
                    if (runs > 1) {
                        violations.add("request " + id + " was dispatched " + runs + " times");
                    }
                });
        for (final Attempt attempt : attempts()) {
            if (!attempt.answer().fault().isEmpty()) {
                violations.add(
                        "request "
                                + attempt.answer().requestId()
                                + ": "
                                + attempt.answer().fault());
            }
        }
        byKey().forEach((key, attempts) -> addFalseAnswers(key, attempts, runsByKey, violations));
        return violations;
    }

    private static void addFalseAnswers(
            final String key,
            final List<Attempt> attempts,
            final Map<String, Integer> runsByKey,
            final List<String> violations) {
        final boolean ran = runsByKey.getOrDefault(key, 0) > 0;
        for (final Attempt attempt : attempts) {
            final Answer answer = attempt.answer();
            if (answer.isAnswered() && !ran) {
                violations.add("key " + key + " was answered but never ran");
            }
            // A later attempt may have run the key after this one was truthfully reported as not
            // run.
            final boolean retriedLater =
                    attempts.stream().anyMatch(a -> a.startNanos() - attempt.endNanos() >= 0);
            if (ran && NOT_RUN.equals(answer.outcome()) && !retriedLater) {
                violations.add("key " + key + " ran but was reported as not run");
            }
        }
    }

    /** Prints the goodput by tier: correct answers within their objective, among first attempts. */
    void printGoodput(final PrintStream out, final double seconds) {
        final Map<Tier, int[]> tiers = new EnumMap<>(Tier.class);
        for (final Attempt attempt : firstAttempts()) {
            final ServiceSpec service = mConfiguration.services().get(attempt.call().service());
            final int[] counts = tiers.computeIfAbsent(service.tier(), tier -> new int[2]);
            counts[0]++;
            counts[1] += meetsObjective(service.objective(), attempt) ? 1 : 0;
        }
        out.printf(
                Locale.ROOT,
                "%-8s %9s %9s %9s %9s%n",
                "tier",
                "offered",
                "good",
                "good/s",
                "share");
        tiers.forEach(
                (tier, counts) ->
                        out.printf(
                                Locale.ROOT,
                                "%-8s %9d %9d %9.1f %8.2f%%%n",
                                tier.label(),
                                counts[0],
                                counts[1],
                                counts[1] / seconds,
                                PERCENT * (double) counts[1] / counts[0]));
    }

    /** Prints the number of attempts by service and outcome. */
    void printOutcomes(final PrintStream out) {
        final Map<String, Integer> counts = new TreeMap<>();
        for (final Attempt attempt : attempts()) {
            final String label =
                    String.format(
                            Locale.ROOT,
                            "%-15s %s",
                            attempt.call().service(),
                            LoadResult.label(attempt.answer()));
            counts.merge(label, 1, Integer::sum);
        }
        counts.forEach((label, count) -> out.printf(Locale.ROOT, "%-52s %6d%n", label, count));
    }

    private static boolean meetsObjective(final ObjectiveSpec objective, final Attempt attempt) {
        final Answer answer = attempt.answer();
        return answer.isGood()
                && answer.firstNanos() <= objective.firstToken().toNanos()
                && answer.totalNanos() <= objective.complete().toNanos();
    }

    /** Returns the first attempt of each key, and all attempts without a key. */
    private List<Attempt> firstAttempts() {
        final List<Attempt> first = new ArrayList<>();
        byKey().values().forEach(attempts -> first.add(attempts.get(0)));
        attempts().stream().filter(a -> a.call().key().isEmpty()).forEach(first::add);
        return first;
    }

    private Map<String, List<Attempt>> byKey() {
        final Map<String, List<Attempt>> keys = new LinkedHashMap<>();
        for (final Attempt attempt : attempts()) {
            if (!attempt.call().key().isEmpty()) {
                keys.computeIfAbsent(attempt.call().key(), key -> new ArrayList<>()).add(attempt);
            }
        }
        return keys;
    }
}
