package io.persimmonreel.daemon.relay;

import io.persimmonreel.daemon.operator.MetricSet;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * Counts relayed requests for Prometheus. The values of labels come from the configuration or a
 * fixed set, so that their number is bounded.
 */
final class RelayMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    /** From a plain answer to a long stream, in seconds. */
    private static final double[] SECONDS = {
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
    private final Histogram mQueue =
            histogram(
                    "persimmonreel_relay_queue_seconds",
                    "Time from arrival until a request was sent");
    private final Histogram mFirst =
            histogram(
                    "persimmonreel_relay_first_event_seconds",
                    "Time from arrival to the first event or the answer");
    private final Histogram mComplete =
            histogram(
                    "persimmonreel_relay_request_seconds", "Time from arrival to the whole answer");

    void onEnded(final String upstream, final int rank, final String outcome) {
        mRequests.labelValues(upstream, String.valueOf(rank), outcome).inc();
    }

    void onResend(final String upstream, final String reason) {
        mResends.labelValues(upstream, reason).inc();
    }

    void onSent(final String upstream, final int rank, final long nanos) {
        mQueue.labelValues(upstream, String.valueOf(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void onFirst(final String upstream, final int rank, final long nanos) {
        mFirst.labelValues(upstream, String.valueOf(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void onComplete(final String upstream, final int rank, final long nanos) {
        mComplete.labelValues(upstream, String.valueOf(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void gauge(final String name, final String help, final DoubleSupplier value) {
        mMetrics.gauge(name, help, value);
    }

    byte[] write() throws IOException {
        return mMetrics.write();
    }

    private Counter counter(final String name, final String help, final String... labels) {
        return mMetrics.counter(name, help, labels);
    }

    private Histogram histogram(final String name, final String help) {
        return mMetrics.histogram(name, help, SECONDS, "upstream", "rank");
    }
}
