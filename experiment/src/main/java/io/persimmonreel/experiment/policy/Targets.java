package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.service.Tier;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Checks the results of the fleet scheduler against the targets that the design page states. */
public final class Targets {
    private static final double MINIMUM_URGENT_GOOD_SHARE_AT_1_3 = 0.99;
    private static final double MINIMUM_URGENT_GOOD_SHARE_AT_2_0 = 0.97;
    private static final double MAXIMUM_WASTED_PREFILL_SHARE_AT_1_3 = 0.01;
    private static final double MAXIMUM_WASTED_PREFILL_SHARE_ENGINE_CRASHED = 0.03;
    private static final double MINIMUM_SHARE_OF_ORACLE_GOODPUT = 0.95;

    private final List<RunResult> mResults;
    private final List<Verdict> mVerdicts = new ArrayList<>();

    /**
     * Holds the check of one target on one run.
     *
     * @param target the deployment, the run and the target
     * @param measured the measured value
     * @param bound the least or greatest value that the target allows
     * @param holds whether the target is met
     */
    public record Verdict(String target, double measured, double bound, boolean holds) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s %-58s measured %8.4f bound %8.4f",
                    holds ? "pass" : "FAIL",
                    target,
                    measured,
                    bound);
        }
    }

    private Targets(final List<RunResult> results) {
        mResults = results;
    }

    static List<Verdict> check(final List<RunResult> results) {
        final Targets targets = new Targets(results);
        results.stream()
                .filter(result -> result.policy().equals(PolicyExperiment.FLEET_SCHEDULER))
                .forEach(targets::checkResult);
        return List.copyOf(targets.mVerdicts);
    }

    private void checkResult(final RunResult result) {
        final String prefix = result.deployment() + " " + result.run() + " ";
        if (result.run().equals(RunSpec.LOAD_1_3.name())) {
            checkAtLeast(
                    prefix + "urgent goodput",
                    result.goodShare(Tier.URGENT),
                    MINIMUM_URGENT_GOOD_SHARE_AT_1_3);
            checkAtMost(
                    prefix + "wasted prefill",
                    result.wastedPrefillShare(),
                    MAXIMUM_WASTED_PREFILL_SHARE_AT_1_3);
        } else if (result.run().equals(RunSpec.LOAD_2_0.name())) {
            checkAtLeast(
                    prefix + "urgent goodput",
                    result.goodShare(Tier.URGENT),
                    MINIMUM_URGENT_GOOD_SHARE_AT_2_0);
        } else if (result.run().equals(RunSpec.CRASH.name())) {
            checkAtMost(
                    prefix + "wasted prefill",
                    result.wastedPrefillShare(),
                    MAXIMUM_WASTED_PREFILL_SHARE_ENGINE_CRASHED);
        } else if (result.run().equals(RunSpec.LOAD_1_0.name())) {
            checkAtLeast(
                    prefix + "total goodput / oracle goodput",
                    result.totalGoodPerSecond() / totalGoodput(result, PolicyExperiment.ORACLE),
                    MINIMUM_SHARE_OF_ORACLE_GOODPUT);
        }
        for (final Tier tier : Tier.values()) {
            if (result.hasRequests(tier)) {
                checkAtLeast(
                        prefix + tier.label() + " goodput >= best baseline",
                        result.goodShare(tier),
                        bestBaselineShare(result, tier));
            }
        }
    }

    private double totalGoodput(final RunResult result, final String policy) {
        return mResults.stream()
                .filter(other -> isSameRun(result, other) && other.policy().equals(policy))
                .mapToDouble(RunResult::totalGoodPerSecond)
                .findFirst()
                .orElseThrow();
    }

    private double bestBaselineShare(final RunResult result, final Tier tier) {
        return mResults.stream()
                .filter(other -> isSameRun(result, other))
                .filter(other -> PolicyExperiment.BASELINES.contains(other.policy()))
                .mapToDouble(other -> other.goodShare(tier))
                .max()
                .orElseThrow();
    }

    private static boolean isSameRun(final RunResult first, final RunResult second) {
        return first.deployment().equals(second.deployment()) && first.run().equals(second.run());
    }

    private void checkAtLeast(final String target, final double measured, final double bound) {
        mVerdicts.add(new Verdict(target, measured, bound, measured >= bound));
    }

    private void checkAtMost(final String target, final double measured, final double bound) {
        mVerdicts.add(new Verdict(target, measured, bound, measured <= bound));
    }
}
