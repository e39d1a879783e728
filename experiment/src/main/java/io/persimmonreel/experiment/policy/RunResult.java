package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.service.Tier;
import io.persimmonreel.experiment.policy.SimulatedRequest.Status;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the results of one run under one policy.
 *
 * @param deployment the deployment's name
 * @param run the run's name
 * @param policy the policy's name
 * @param offered the number of measured requests by tier
 * @param good the number of complete responses within their objective by tier
 * @param measuredSeconds the length of the measured time
 * @param wastedPrefillShare the share of computed prefill tokens whose requests got no complete
 *     response
 */
record RunResult(
        String deployment,
        String run,
        String policy,
        Map<Tier, Integer> offered,
        Map<Tier, Integer> good,
        double measuredSeconds,
        double wastedPrefillShare) {
    static RunResult of(
            final String deployment,
            final String run,
            final String policy,
            final List<SimulatedRequest> requests,
            final Workload.Timeline timeline) {
        final Map<Tier, Integer> offered = new EnumMap<>(Tier.class);
        final Map<Tier, Integer> good = new EnumMap<>(Tier.class);
        long prefillTokens = 0;
        long wastedTokens = 0;
        for (final SimulatedRequest request : requests) {
            if (timeline.isMeasured(request)) {
                offered.merge(request.tier(), 1, Integer::sum);
                good.merge(request.tier(), request.isGood() ? 1 : 0, Integer::sum);
                prefillTokens += request.mPrefillTokensComputed;
                wastedTokens +=
                        request.mStatus == Status.COMPLETED ? 0 : request.mPrefillTokensComputed;
            }
        }
        return new RunResult(
                deployment,
                run,
                policy,
                offered,
                good,
                (timeline.measureToNanos() - timeline.measureFromNanos()) / 1e9,
                prefillTokens == 0 ? 0 : (double) wastedTokens / prefillTokens);
    }

    /** Returns the good responses of a tier as a share of its offered requests, 1 without any. */
    double goodShare(final Tier tier) {
        return offered.containsKey(tier) ? (double) good.get(tier) / offered.get(tier) : 1;
    }

    double goodPerSecond(final Tier tier) {
        return good.getOrDefault(tier, 0) / measuredSeconds;
    }

    double totalGoodPerSecond() {
        return good.values().stream().mapToInt(Integer::intValue).sum() / measuredSeconds;
    }

    boolean hasRequests(final Tier tier) {
        return offered.containsKey(tier);
    }
}
