package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.grant.SlotListener;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.quota.ClaimRefusal;
import io.persimmonreel.core.quota.FleetShare;
import io.persimmonreel.core.quota.QuotaState;
import io.persimmonreel.core.ratelimit.AdvertisedRateLimit;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.warmup.ColdReplicaEvent;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.log.GranterLog;
import io.persimmonreel.daemon.log.QuarantineLog;
import io.persimmonreel.daemon.log.ReachabilityLog;
import io.persimmonreel.daemon.refusal.QueueState;
import io.persimmonreel.daemon.refusal.RefusalLog;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Writes decisions on relayed requests to the log and updates the metrics. */
final class RelayLog {
    private static final int SECONDS_PER_MINUTE = 60;
    private static final double PARTS_PER_MILLION = 1e6;

    private final EventLog mLog;
    private final RelayMetrics mMetrics;
    private final ExchangeLog mExchangeLog;
    private final QuotaUseLog mQuotaUse;
    private final RefusalLog mRefusals;
    private final GranterLog mGranters;

    RelayLog(
            final EventLog log,
            final RelayMetrics metrics,
            final ExchangeLog exchangeLog,
            final QuotaUseLog quotaUse) {
        mLog = log;
        mMetrics = metrics;
        mExchangeLog = exchangeLog;
        mQuotaUse = quotaUse;
        mRefusals = new RefusalLog(log, metrics.set());
        mGranters = new GranterLog(log, metrics.set());
    }

    QuotaUseLog quotaUse() {
        return mQuotaUse;
    }

    QuarantineLog quarantine() {
        return new QuarantineLog(mLog);
    }

    ReachabilityLog reachability() {
        return new ReachabilityLog(mLog);
    }

    /** Logs a request that was refused on arrival, before it was queued. */
    void refusedOnArrival(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final ConfigurationMonitor.Snapshot configuration,
            final long retryAfterMillis) {
        putConfiguration(
                        mLog.event("request", "refused")
                                .put("id", request.callerHeaders().attemptId())
                                .put("status", status.code())
                                .put("reason", reason),
                        configuration)
                .put("return_ms", retryAfterMillis)
                .write();
    }

    /** Logs a request that is beyond its customer's quota. */
    void overQuota(
            final RelayCall call,
            final String reason,
            final ClaimRefusal refusal,
            final ConfigurationMonitor.Snapshot configuration,
            final Optional<QuotaState> quota,
            final long nowNanos) {
        mMetrics.onEnded(call.task().upstream(), call.task().rank(), "refused");
        putConfiguration(
                        mRefusals.overQuota(
                                call.task().refused(nowNanos),
                                HttpResponseStatus.TOO_MANY_REQUESTS.code(),
                                reason,
                                refusal,
                                quota),
                        configuration)
                .write();
    }

    /** Logs a queued request that was refused because no replica can serve it in time. */
    void refusedWhileQueued(
            final RelayCall call,
            final String reason,
            final QueueState queue,
            final Choice best,
            final long retryAfterMillis,
            final long nowNanos) {
        mMetrics.onEnded(call.task().upstream(), call.task().rank(), "refused");
        mRefusals.queued(
                call.task().refused(nowNanos),
                HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                reason,
                queue,
                best,
                retryAfterMillis);
    }

    private static EventLog.Line putConfiguration(
            final EventLog.Line line, final ConfigurationMonitor.Snapshot configuration) {
        return line.put("version", configuration.version())
                .put("version_age_ms", configuration.ageMillis())
                .put("directory_silent_ms", configuration.directorySilentMillis())
                .put("peer_version", configuration.newestPeerVersion());
    }

    /** Logs the share of this daemon in the quotas of customers after a change. */
    void quotaShare(final FleetShare share, final long nowNanos) {
        mLog.event("quota", "share")
                .put("standing", share.standing().name())
                .put("daemons", share.size())
                .put("known", share.knownSize())
                .put("share_ppm", Math.round(share.share(nowNanos) * PARTS_PER_MILLION))
                .write();
    }

    /** Logs that the host was suspended, so that all units of quotas were dropped. */
    void suspended() {
        mLog.event("quota", "suspended").write();
    }

    GranterLog granters() {
        return mGranters;
    }

    /** Counts what becomes of claims of slots, and logs changes of the granter. */
    void slots(final String upstream, final SlotListener.Event event) {
        final String name = event.name().toLowerCase(Locale.ROOT).replace('_', '-');
        mMetrics.onSlots(upstream, name);
        if (event == SlotListener.Event.GRANTER_STARTED
                || event == SlotListener.Event.GRANTER_ENDED) {
            mLog.event("slots", name).put("upstream", upstream).write();
        }
    }

    /** Counts what becomes of claims at this granter. */
    void granterClaim(
            final String upstream, final int rank, final SlotListener.ClaimOutcome outcome) {
        mMetrics.onGranterClaim(upstream, rank, outcome.name().toLowerCase(Locale.ROOT));
    }

    void sent(
            final RelayCall call, final Choice choice, final int candidates, final long nowNanos) {
        mMetrics.onSent(
                call.task().upstream(),
                call.task().rank(),
                nowNanos - call.task().request().arrivedNanos());
        final EventLog.Line line =
                mExchangeLog
                        .requestLine("sent", choice.replica(), nowNanos)
                        .put("id", call.task().id())
                        .put("route", call.task().route().name())
                        .put("replica", choice.replica().entry().id())
                        .put("customer", call.task().customerName())
                        .put("units", call.task().units())
                        .put("load", Math.round(choice.load()))
                        .put("withheld", Math.round(choice.withheld()))
                        .put("candidates", candidates)
                        .put("first_ms", Math.round(choice.firstMillis()))
                        .put("prefill", choice.prefillTokens())
                        .put("queued_ms", Math.round(call.task().waitedMillis(nowNanos)))
                        .put("left_ms", Math.round(call.task().millisLeft(nowNanos)));
        if (choice.cached().isExpected()) {
            line.put("cached_ms", Math.round(choice.cached().missMillis()));
        }
        final AdvertisedRateLimit limit = choice.replica().rateLimit();
        if (limit.isStated()) {
            line.put("limit_per_minute", perMinute(choice.replica()))
                    .put("limit_age_ms", limit.ageMillis(nowNanos));
        }
        line.write();
    }

    /** Logs a request that was handed to a connection, which may follow later than its choice. */
    void written(final RelayCall call, final long nowNanos) {
        mQuotaUse.add(
                call.task().customerName(),
                call.countedDispatches() > 1 ? QuotaEvent.SENT_AGAIN : QuotaEvent.SENT,
                call.task().units());
        final EventLog.Line line =
                mExchangeLog
                        .requestLine("written", call.replica(), nowNanos)
                        .put("id", call.task().id())
                        .put("replica", call.replica().entry().id());
        ExchangeLog.putNumbers(line, exchange(call)).write();
    }

    /** Logs a request whose stream goes on at the software version that began it. */
    void streamContinued(final RelayCall call, final String version, final long nowNanos) {
        mMetrics.onContinued(call.task().upstream(), "continued");
        streamLine("continued", call, nowNanos).put("version", version).write();
    }

    /** Logs a request that is refused, since its stream may have begun at several versions. */
    void streamUnknown(
            final RelayCall call,
            final boolean confirmed,
            final long retryAfterMillis,
            final long nowNanos) {
        mMetrics.onContinued(call.task().upstream(), "unknown");
        streamLine("unknown", call, nowNanos)
                .put("confirmed", confirmed)
                .put("return_ms", retryAfterMillis)
                .write();
    }

    private EventLog.Line streamLine(
            final String event, final RelayCall call, final long nowNanos) {
        return mLog.event("stream", event)
                .put("id", call.task().id())
                .put("resumes", call.task().request().callerHeaders().resumes())
                .put("ms", Math.round(call.task().waitedMillis(nowNanos)));
    }

    void resent(
            final RelayCall call,
            final String resendReason,
            final String detail,
            final double budgetLeft) {
        mMetrics.onResend(call.task().upstream(), resendReason);
        final EventLog.Line line =
                mLog.event("request", "resent")
                        .put("id", call.task().id())
                        .put("kind", resendReason)
                        .put("reason", detail)
                        .put("replica", call.replica().entry().id())
                        .put("sends", call.dispatchCount())
                        .put("budget_left", Math.round(budgetLeft));
        ExchangeLog.put(line, exchange(call)).write();
    }

    void firstEvent(final RelayCall call, final long nowNanos) {
        mMetrics.onFirstEvent(
                call.task().upstream(),
                call.task().rank(),
                nowNanos - call.task().request().arrivedNanos());
        final Choice choice = call.dispatch().choice();
        if (choice.waitMillis() <= 0) {
            mMetrics.onCachedPrompt(
                    call.task().upstream(), choice.cached(), call.dispatch().firstEventMillis());
        }
    }

    void answered(
            final RelayCall call,
            final HttpResponseStatus status,
            final int events,
            final long nowNanos) {
        mMetrics.onCompleted(
                call.task().upstream(),
                call.task().rank(),
                nowNanos - call.task().request().arrivedNanos());
        mMetrics.onEnded(call.task().upstream(), call.task().rank(), "answered");
        final EventLog.Line line =
                mExchangeLog
                        .requestLine("answered", call.replica(), nowNanos)
                        .put("id", call.task().id())
                        .put("status", status.code())
                        .put("replica", call.replica().entry().id())
                        .put("sends", call.dispatchCount())
                        .put("events", events);
        if (call.dispatch().hasEvents()) {
            line.put("predicted_first_ms", Math.round(call.dispatch().choice().firstMillis()))
                    .put("first_ms", Math.round(call.dispatch().firstEventMillis()))
                    .put("pause_ms", Math.round(call.dispatch().longestPauseMillis()));
        }
        line.put("ms", Math.round(call.task().waitedMillis(nowNanos)));
        ExchangeLog.put(line, exchange(call)).write();
    }

    /** Logs a request whose caller gets the error response of a replica. */
    void errorForwarded(
            final RelayCall call, final HttpResponseStatus status, final long nowNanos) {
        final EventLog.Line line =
                mExchangeLog
                        .requestLine("error-forwarded", call.replica(), nowNanos)
                        .put("id", call.task().id())
                        .put("status", status.code())
                        .put("replica", call.replica().entry().id())
                        .put("sends", call.dispatchCount())
                        .put("ms", Math.round(call.task().waitedMillis(nowNanos)));
        ExchangeLog.put(line, exchange(call)).write();
    }

    /**
     * Checks the response to a caller; logs and counts one that differs from the replica's.
     *
     * @param call the request, which has ended
     * @param first the exchange that the response began with, null if none was forwarded
     */
    void checkResponse(final RelayCall call, final UpstreamExchange first) {
        if (first == null) {
            return;
        }
        // A further dispatch has no exchange if its connection was not established.
        final UpstreamExchange last = exchange(call) == null ? first : exchange(call);
        final boolean skipsEvents = call.task().request().callerHeaders().resumeAfter() != null;
        ExchangeCheck.check(call.task().id(), first, last, skipsEvents)
                .ifPresent(mismatch -> mismatch(call, mismatch, first, last));
    }

    private void mismatch(
            final RelayCall call,
            final ExchangeCheck.Mismatch mismatch,
            final UpstreamExchange first,
            final UpstreamExchange last) {
        mMetrics.onMismatch(call.task().upstream(), mismatch.label());
        final EventLog.Line line =
                mLog.event("request", "mismatch")
                        .put("id", call.task().id())
                        .put("kind", mismatch.label())
                        .put("route", call.task().route().name())
                        .put("replica", replicaId(call))
                        .put("sends", call.dispatchCount());
        ExchangeLog.putAll(line, first, last).write();
    }

    void cancelled(final RelayCall call, final long nowNanos) {
        mMetrics.onEnded(call.task().upstream(), call.task().rank(), "cancelled");
        final EventLog.Line line =
                mExchangeLog
                        .requestLine("cancelled", call.replica(), nowNanos)
                        .put("id", call.task().id())
                        .put("phase", call.phase().name())
                        .put("replica", replicaId(call))
                        .put("ms", Math.round(call.task().waitedMillis(nowNanos)));
        ExchangeLog.put(line, exchange(call)).write();
    }

    void failed(
            final RelayCall call,
            final HttpResponseStatus status,
            final String reason,
            final long nowNanos) {
        mMetrics.onEnded(call.task().upstream(), call.task().rank(), "failed");
        final EventLog.Line line =
                mLog.event("request", "failed")
                        .put("id", call.task().id())
                        .put("route", call.task().route().name())
                        .put("upstream", call.task().upstream())
                        .put("rank", call.task().rank())
                        .put("status", status.code())
                        .put("reason", reason)
                        .put("phase", call.phase().name())
                        .put("replica", replicaId(call))
                        .put("sends", call.dispatchCount())
                        .put("may_have_run", call.mayHaveRun())
                        .put("left_ms", Math.round(call.task().millisLeft(nowNanos)))
                        .put("ms", Math.round(call.task().waitedMillis(nowNanos)));
        ExchangeLog.put(line, exchange(call)).write();
    }

    /** Logs an unexpected exception or error, which ends one step of the relay. */
    void unexpectedError(final String step, final String requestId, final Throwable error) {
        mLog.event("relay", "error")
                .put("step", step)
                .put("id", requestId)
                .put("error", String.valueOf(error))
                .put("at", origin(error))
                .write();
    }

    private static String origin(final Throwable error) {
        final StackTraceElement[] trace = error.getStackTrace();
        return trace.length == 0 ? null : trace[0].toString();
    }

    void crashed(final Replica replica, final int requests) {
        mLog.event("replica", "crashed")
                .put("replica", replica.entry().id())
                .put("requests", requests)
                .write();
    }

    /** Logs that a replica advertises another rate limit than before, or none any more. */
    void rateLimit(final Replica replica, final double share, final String source) {
        final boolean stated = replica.rateLimit().isStated();
        mMetrics.onRateLimit(replica.entry().upstream(), stated ? "stated" : "ended");
        mLog.event("replica", stated ? "limit-stated" : "limit-ended")
                .put("replica", replica.entry().id())
                .put("per_minute", perMinute(replica))
                .put("share_percent", Math.round(share * 100))
                .put("own_in_flight", replica.ownInFlight())
                .put("source", source)
                .write();
    }

    /** Logs that a replica has become cold or is not cold any more. */
    void coldReplica(
            final String replica,
            final String upstream,
            final ColdReplicaEvent event,
            final int coldReplicas) {
        mMetrics.onColdReplica(upstream, event.label());
        mLog.event("replica", event.isCold() ? "cold" : "warm")
                .put("replica", replica)
                .put("upstream", upstream)
                .put("source", event.label())
                .put("cold_replicas", coldReplicas)
                .write();
    }

    /** Counts a pass over the waiting requests of an upstream. */
    void pass(final String upstream, final int requests, final long nanos) {
        mMetrics.onPass(upstream, requests, nanos);
    }

    /** Logs that not all requests that wait for an upstream can be on time any more. */
    void overloadBegan(final String upstream, final int waiting, final int deferred) {
        mMetrics.onOverload(upstream, "began");
        mLog.event("overload", "began")
                .put("upstream", upstream)
                .put("waiting", waiting)
                .put("deferred", deferred)
                .write();
    }

    /** Logs that all requests that wait for an upstream can be on time again. */
    void overloadEnded(final String upstream, final long nanos, final int mostDeferred) {
        mMetrics.onOverload(upstream, "ended");
        mLog.event("overload", "ended")
                .put("upstream", upstream)
                .put("for_ms", TimeUnit.NANOSECONDS.toMillis(nanos))
                .put("most_deferred", mostDeferred)
                .write();
    }

    /** Logs that a replica says that it is leaving. */
    void leaving(final RelayCall call) {
        mMetrics.onAvailability(call.task().upstream(), "leaving");
        mLog.event("replica", "leaving")
                .put("replica", replicaId(call))
                .put("started_ms", call.replica().entry().startedMillis())
                .put("id", call.task().id())
                .put("own_in_flight", call.replica().ownInFlight())
                .write();
    }

    /** Logs that a replica takes no requests for a time. */
    void pushedBack(final RelayCall call, final long nowNanos) {
        mMetrics.onAvailability(call.task().upstream(), "pushed-back");
        mLog.event("replica", "pushed-back")
                .put("replica", replicaId(call))
                .put("started_ms", call.replica().entry().startedMillis())
                .put("for_ms", Math.round(call.replica().availability().waitMillis(nowNanos)))
                .put("id", call.task().id())
                .put("own_in_flight", call.replica().ownInFlight())
                .write();
    }

    /** Counts the availability zones that were evacuated or taken back. */
    void evacuations(final Set<String> before, final Set<String> now) {
        now.stream()
                .filter(zone -> !before.contains(zone))
                .forEach(zone -> mMetrics.onEvacuation("evacuated"));
        before.stream()
                .filter(zone -> !now.contains(zone))
                .forEach(zone -> mMetrics.onEvacuation("taken-back"));
    }

    void avoided(final Replica replica, final String reason) {
        mLog.event("replica", "avoided")
                .put("replica", replica.entry().id())
                .put("reason", reason)
                .put("failure_percent", Math.round(replica.health().failureRate() * 100))
                .put("own_in_flight", replica.ownInFlight())
                .write();
    }

    private static long perMinute(final Replica replica) {
        return Math.round(replica.rateLimit().perSecond() * SECONDS_PER_MINUTE);
    }

    /** Returns the record of the last exchange, null if there was none. */
    private static UpstreamExchange exchange(final RelayCall call) {
        return call.dispatch() == null ? null : call.dispatch().exchange();
    }

    /** Returns the id of the last replica, null if there was none. */
    static String replicaId(final RelayCall call) {
        return call.replica() == null ? null : call.replica().entry().id();
    }
}
