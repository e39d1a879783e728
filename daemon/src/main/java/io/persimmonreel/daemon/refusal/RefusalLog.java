package io.persimmonreel.daemon.refusal;

import io.persimmonreel.core.grant.ClaimReport;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.quota.ClaimRefusal;
import io.persimmonreel.core.quota.QuotaState;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.operator.MetricSet;
import io.prometheus.metrics.core.metrics.Counter;
import java.util.Locale;
import java.util.Optional;

/**
 * Logs refused requests with their size and the cause, and counts them by both, so that it can be
 * told which sizes are refused for which cause. The decision on the response is made elsewhere.
 */
public final class RefusalLog {
    private static final double PERCENT = 100;

    private final EventLog mLog;
    private final Counter mRefusals;

    /**
     * Creates a log of refusals.
     *
     * @param log receives the lines
     * @param metrics receives the counter
     */
    public RefusalLog(final EventLog log, final MetricSet metrics) {
        mLog = log;
        mRefusals =
                metrics.counter(
                        "persimmonreel_relay_refusals_total",
                        "Requests refused while they waited or for a quota, by cause and units",
                        "upstream",
                        "rank",
                        "cause",
                        "units");
    }

    /**
     * Logs a request that is beyond its customer's quota.
     *
     * @param request the request
     * @param status the status of the response
     * @param reason the reason that the caller is told
     * @param refusal the cause, and the Retry-After time of the response
     * @param state the state of the quota at this daemon, empty if the customer is unknown
     * @return the line, to which more can be added
     */
    public EventLog.Line overQuota(
            final RefusedRequest request,
            final int status,
            final String reason,
            final ClaimRefusal refusal,
            final Optional<QuotaState> state) {
        count(request, "quota-" + refusal.cause().label());
        final EventLog.Line line =
                line(request, status, reason, refusal.retryMillis())
                        .put("cause", refusal.cause().label());
        state.ifPresent(
                quota ->
                        line.put("rate_per_s", Math.round(quota.ratePerSecond()))
                                .put("level", quota.level())
                                .put("claimed", quota.claimed())
                                .put("share_percent", Math.round(quota.share() * PERCENT))
                                .put(
                                        "reachable_percent",
                                        Math.round(quota.inflowShare() * PERCENT)));
        return line;
    }

    /**
     * Logs a queued request that no replica can serve in time.
     *
     * @param request the request
     * @param status the status of the response
     * @param reason the reason, one of a fixed set
     * @param queue the position of the request in the queue, null if it does not matter
     * @param best the replica that was chosen last, null if none was
     * @param returnMillis the Retry-After time of the response in milliseconds
     */
    public void queued(
            final RefusedRequest request,
            final int status,
            final String reason,
            final QueueState queue,
            final Choice best,
            final long returnMillis) {
        count(request, reason);
        final EventLog.Line line = line(request, status, reason, returnMillis);
        if (queue != null) {
            line.put("deferred", queue.isDeferred())
                    .put("first_ms", Math.round(queue.run().firstMillis()))
                    .put("run_ms", Math.round(queue.run().totalMillis()))
                    .put("place_ms", Math.round(queue.place().waitMillis()));
            queue.claim().ifPresent(claim -> putClaim(line, claim));
        }
        if (best != null) {
            line.put("best", best.replica().entry().id())
                    .put("load", Math.round(best.load()))
                    .put("withheld", Math.round(best.withheld()))
                    .put("wait_ms", Math.round(best.waitMillis()));
        }
        line.write();
    }

    private static void putClaim(final EventLog.Line line, final ClaimReport claim) {
        line.put("claim", claim.number())
                .put("claim_state", claim.state().name().toLowerCase(Locale.ROOT))
                .put("granter_silent", claim.suspended())
                .put("claims", claim.claims())
                .put("slots", claim.slots())
                .put("told_first_ms", Math.round(claim.firstWaitMillis()))
                .put("told_ms", Math.round(claim.waitMillis()))
                .put("told_age_ms", Math.round(claim.answerAgeMillis()));
        claim.place()
                .ifPresent(
                        place ->
                                line.put("ahead", place.ahead())
                                        .put("ahead_lower_rank", place.aheadOfLowerRank())
                                        .put("fleet_claims", place.waiting())
                                        .put("fleet_granted", place.granted())
                                        .put("fleet_slots", place.slots()));
    }

    private EventLog.Line line(
            final RefusedRequest request,
            final int status,
            final String reason,
            final long returnMillis) {
        return mLog.event("request", "refused")
                .put("id", request.id())
                .put("route", request.route())
                .put("upstream", request.upstream())
                .put("status", status)
                .put("reason", reason)
                .put("customer", request.customer())
                .put("rank", request.rank())
                .put("units", request.units())
                .put("prompt", request.promptTokens())
                .put("output", request.outputTokens())
                .put("waited_ms", Math.round(request.waitedMillis()))
                .put("objective_ms", Math.round(request.objectiveLeftMillis()))
                .put("left_ms", Math.round(request.leftMillis()))
                .put("return_ms", returnMillis);
    }

    private void count(final RefusedRequest request, final String cause) {
        mRefusals
                .labelValues(
                        request.upstream(),
                        String.valueOf(request.rank()),
                        cause,
                        SizeClass.of(request.units()).label())
                .inc();
    }
}
