package io.persimmonreel.daemon.operator;

import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.daemon.http.RefusalObserver;
import io.persimmonreel.daemon.request.RequestObserver;
import io.persimmonreel.daemon.request.RequestSummary;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * Records the metrics of a daemon for Prometheus.
 *
 * <p>The only labels are service, tier, upstream and outcome, whose values come from the
 * configuration or a fixed set, so that the number of time series is bounded.
 */
public final class DaemonMetrics implements RequestObserver, RefusalObserver {
    private static final String PROBLEM_URI_PREFIX = "/problems/";
    private static final double NANOS_PER_SECOND = 1e9;

    /** Buckets from the latency of a fast plain service to that of a long engine answer. */
    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 600
    };

    private final MetricSet mMetrics = new MetricSet();
    private final Counter mRequests;
    private final Counter mRefusals;
    private final Counter mGoodRequests;
    private final Counter mPrefillTokens;
    private final Counter mOutputTokens;
    private final Histogram mFirstTokenSeconds;
    private final Histogram mRequestSeconds;

    /** Creates the metrics with a registry of their own. */
    public DaemonMetrics() {
        mRequests =
                counter(
                        "persimmonreel_requests_total",
                        "Requests ended",
                        "service",
                        "tier",
                        "upstream",
                        "outcome");
        mRefusals =
                counter(
                        "persimmonreel_refusals_total",
                        "Requests refused before they were submitted, the outcome is the problem",
                        "service",
                        "outcome");
        mGoodRequests =
                counter(
                        "persimmonreel_good_requests_total",
                        "Requests answered within their objective",
                        "service",
                        "tier");
        mPrefillTokens =
                counter(
                        "persimmonreel_prefill_tokens_total",
                        "Prompt tokens dispatched; those without the outcome ran were wasted",
                        "upstream",
                        "outcome");
        mOutputTokens =
                counter(
                        "persimmonreel_output_tokens_total",
                        "Tokens received from engines",
                        "service",
                        "tier");
        mFirstTokenSeconds =
                histogram(
                        "persimmonreel_first_token_seconds",
                        "Time from arrival to the first token or answer");
        mRequestSeconds =
                histogram("persimmonreel_request_seconds", "Time from arrival to the whole answer");
    }

    /**
     * Registers gauges of the daemon's state.
     *
     * @param version reads the accepted version of the configuration
     * @param members reads the number of live members
     * @param inProgress reads the number of requests queued or dispatched
     */
    public void registerStateGauges(
            final DoubleSupplier version,
            final DoubleSupplier members,
            final DoubleSupplier inProgress) {
        gauge(
                "persimmonreel_configuration_version",
                "Version of the accepted configuration",
                version);
        gauge("persimmonreel_members", "Live members", members);
        gauge("persimmonreel_requests_in_progress", "Requests waiting or dispatched", inProgress);
    }

    void gauge(final String name, final String help, final DoubleSupplier value) {
        mMetrics.gauge(name, help, value);
    }

    @Override
    public void onFinished(final RequestSummary summary) {
        final String service = summary.service().id();
        final String tier = summary.tier().label();
        final String upstream = summary.service().upstream();
        final String outcome = summary.outcome().label();
        mRequests.labelValues(service, tier, upstream, outcome).inc();
        mOutputTokens.labelValues(service, tier).inc(summary.tokens());
        mPrefillTokens.labelValues(upstream, outcome).inc(summary.promptTokens());
        if (summary.isWithinObjective()) {
            mGoodRequests.labelValues(service, tier).inc();
        }
        if (summary.firstTokenNanos() >= 0) {
            mFirstTokenSeconds
                    .labelValues(service, tier)
                    .observe(summary.firstTokenNanos() / NANOS_PER_SECOND);
        }
        if (summary.answered()) {
            mRequestSeconds
                    .labelValues(service, tier)
                    .observe(summary.completeNanos() / NANOS_PER_SECOND);
        }
    }

    @Override
    public void onRefused(final String service, final ProblemType type) {
        mRefusals.labelValues(service, type.uri().substring(PROBLEM_URI_PREFIX.length())).inc();
    }

    /**
     * Writes all metrics.
     *
     * @return the text format of Prometheus
     * @throws IOException if the metrics can't be written
     */
    public byte[] write() throws IOException {
        return mMetrics.write();
    }

    private Counter counter(final String name, final String help, final String... labels) {
        return mMetrics.counter(name, help, labels);
    }

    private Histogram histogram(final String name, final String help) {
        return mMetrics.histogram(name, help, LATENCY_BUCKETS_SECONDS, "service", "tier");
    }
}
