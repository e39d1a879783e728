package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.CachedPrompt;
import io.persimmonreel.daemon.operator.MetricSet;
import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * Holds the Prometheus metrics of relayed requests. Label values come from the configuration or
 * from a fixed set, so their number is bounded.
 */
final class RelayMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Histogram buckets, from a fast plain response to a long stream. */
    private static final double[] BUCKET_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15, 30
    };

    private final MetricSet mMetrics = new MetricSet();
    private final Counter mRequests =
            counter(
                    "persimmonreel_relay_requests_total",
                    "Requests ended, by outcome",
                    "upstream",
                    "rank",
                    "outcome");
    private final Counter mResends =
            counter(
                    "persimmonreel_relay_resends_total",
                    "Requests sent to another replica, by the reason that allowed it",
                    "upstream",
                    "reason");
    private final Counter mRateLimits =
            counter(
                    "persimmonreel_relay_rate_limits_total",
                    "Rate limits of replicas that were stated anew or ended",
                    "upstream",
                    "event");
    private final Counter mColdReplicas =
            counter(
                    "persimmonreel_relay_cold_replicas_total",
                    "Changes of the warm-up of replicas, by what showed them",
                    "upstream",
                    "event");
    private final Counter mAvailability =
            counter(
                    "persimmonreel_relay_replicas_withdrawn_total",
                    "Replicas that said that they are leaving or want no requests for a time",
                    "upstream",
                    "event");
    private final Counter mEvacuations =
            counter(
                    "persimmonreel_relay_zone_evacuations_total",
                    "Availability zones that were evacuated or taken back",
                    "event");
    private final Counter mOverloads =
            counter(
                    "persimmonreel_relay_overloads_total",
                    "Periods in which not all waiting requests could be on time, begun and ended",
                    "upstream",
                    "event");
    private final Counter mUnrequested =
            counter(
                    "persimmonreel_relay_unrequested_responses_total",
                    "Responses and other bytes of replicas that belong to no request, by kind",
                    "upstream",
                    "kind");
    private final Counter mMismatches =
            counter(
                    "persimmonreel_relay_request_mismatches_total",
                    "Responses to callers that differ from the replica's, by the first difference",
                    "upstream",
                    "kind");
    private final Counter mGranterClaims =
            counter(
                    "persimmonreel_relay_granter_claims_total",
                    "Claims of all daemons at this granter, by rank and what became of them",
                    "upstream",
                    "rank",
                    "outcome");
    private final Counter mSlots =
            counter(
                    "persimmonreel_relay_slot_claims_total",
                    "Claims of slots of upstreams with few slots, by what became of them",
                    "upstream",
                    "event");
    private final Counter mContinuedStreams =
            counter(
                    "persimmonreel_relay_continued_streams_total",
                    "Streams that callers continue, by whether their software version is known",
                    "upstream",
                    "outcome");
    private final Counter mQuotaUnits =
            counter(
                    "persimmonreel_relay_quota_units_total",
                    "Units of customers' quotas, by what happened to them",
                    "customer",
                    "event");
    private final Counter mDirectoryEvents =
            counter(
                    "persimmonreel_relay_directory_events_total",
                    "Documents ignored, held or replaced after a restore of the directory",
                    "event");
    private final Counter mCachedPrompts =
            counter(
                    "persimmonreel_relay_cached_prompt_seconds_total",
                    "Prefill time of prompts that replicas might have cached, and had by estimate",
                    "upstream",
                    "event");
    private final Counter mPasses =
            counter(
                    "persimmonreel_relay_placement_passes_total",
                    "Passes over the waiting requests of an upstream",
                    "upstream");
    private final Counter mPassRequests =
            counter(
                    "persimmonreel_relay_placement_pass_requests_total",
                    "Requests that passes tried to place, each counted in each pass",
                    "upstream");
    private final Counter mPassTime =
            counter(
                    "persimmonreel_relay_placement_pass_seconds_total",
                    "Time that passes took on the event loop",
                    "upstream");
    private final Map<String, PassCounters> mPassCounters = new ConcurrentHashMap<>();
    private final Histogram mQueueTime =
            histogram(
                    "persimmonreel_relay_queue_seconds",
                    "Time from arrival until a request was sent");
    private final Histogram mFirstEvent =
            histogram(
                    "persimmonreel_relay_first_event_seconds",
                    "Time from arrival to the first event or the answer");
    private final Histogram mRequestTime =
            histogram(
                    "persimmonreel_relay_request_seconds", "Time from arrival to the whole answer");

    /** Holds the counters of the passes of an upstream. */
    private record PassCounters(
            CounterDataPoint passes, CounterDataPoint requests, CounterDataPoint seconds) {}

    void onEnded(final String upstream, final int rank, final String outcome) {
        mRequests.labelValues(upstream, String.valueOf(rank), outcome).inc();
    }

    void onResend(final String upstream, final String reason) {
        mResends.labelValues(upstream, reason).inc();
    }

    void onRateLimit(final String upstream, final String event) {
        mRateLimits.labelValues(upstream, event).inc();
    }

    void onColdReplica(final String upstream, final String event) {
        mColdReplicas.labelValues(upstream, event).inc();
    }

    void onAvailability(final String upstream, final String event) {
        mAvailability.labelValues(upstream, event).inc();
    }

    void onEvacuation(final String event) {
        mEvacuations.labelValues(event).inc();
    }

    void onOverload(final String upstream, final String event) {
        mOverloads.labelValues(upstream, event).inc();
    }

    void onUnrequested(final String upstream, final String kind) {
        mUnrequested.labelValues(upstream, kind).inc();
    }

    void onMismatch(final String upstream, final String kind) {
        mMismatches.labelValues(upstream, kind).inc();
    }

    void onContinued(final String upstream, final String outcome) {
        mContinuedStreams.labelValues(upstream, outcome).inc();
    }

    void onGranterClaim(final String upstream, final int rank, final String outcome) {
        mGranterClaims.labelValues(upstream, String.valueOf(rank), outcome).inc();
    }

    void onSlots(final String upstream, final String event) {
        mSlots.labelValues(upstream, event).inc();
    }

    void onQuota(final String customer, final String event, final long units) {
        mQuotaUnits.labelValues(customer, event).inc(Math.max(0, units));
    }

    void onDirectory(final String event) {
        mDirectoryEvents.labelValues(event).inc();
    }

    /** Counts the prefill time of a part that may be cached, and what of it was saved. */
    void onCachedPrompt(
            final String upstream, final CachedPrompt cached, final double firstMillis) {
        if (cached.isMeasurable()) {
            final double seconds = cached.missMillis() / MILLIS_PER_SECOND;
            mCachedPrompts.labelValues(upstream, "possible").inc(seconds);
            mCachedPrompts
                    .labelValues(upstream, "found")
                    .inc(seconds * cached.hitRatio(firstMillis));
        }
    }

    void onPass(final String upstream, final int requests, final long nanos) {
        final PassCounters counters =
                mPassCounters.computeIfAbsent(
                        upstream,
                        name ->
                                new PassCounters(
                                        mPasses.labelValues(name),
                                        mPassRequests.labelValues(name),
                                        mPassTime.labelValues(name)));
        counters.passes().inc();
        counters.requests().inc(requests);
        counters.seconds().inc(nanos / NANOS_PER_SECOND);
    }

    void onSent(final String upstream, final int rank, final long nanos) {
        mQueueTime.labelValues(upstream, String.valueOf(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void onFirstEvent(final String upstream, final int rank, final long nanos) {
        mFirstEvent.labelValues(upstream, String.valueOf(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void onCompleted(final String upstream, final int rank, final long nanos) {
        mRequestTime.labelValues(upstream, String.valueOf(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void gauge(final String name, final String help, final DoubleSupplier value) {
        mMetrics.gauge(name, help, value);
    }

    MetricSet set() {
        return mMetrics;
    }

    byte[] write() throws IOException {
        return mMetrics.write();
    }

    private Counter counter(final String name, final String help, final String... labels) {
        return mMetrics.counter(name, help, labels);
    }

    private Histogram histogram(final String name, final String help) {
        return mMetrics.histogram(name, help, BUCKET_SECONDS, "upstream", "rank");
    }
}
