package io.persimmonreel.daemon.operator;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * Holds the metrics of one component and writes them in the text format of Prometheus.
 *
 * <p>The text format has no exemplars. The metrics keep none, since the library schedules a task on
 * another thread for each that it samples.
 */
public final class MetricSet {
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();

    /**
     * Registers a counter.
     *
     * @param name the name
     * @param help what it counts
     * @param labels the names of the labels
     * @return the counter
     */
    public Counter counter(final String name, final String help, final String... labels) {
        return Counter.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .withoutExemplars()
                .register(mRegistry);
    }

    /**
     * Registers a histogram of durations.
     *
     * @param name the name
     * @param help what it measures
     * @param bounds the upper bounds of the buckets in seconds
     * @param labels the names of the labels
     * @return the histogram
     */
    public Histogram histogram(
            final String name, final String help, final double[] bounds, final String... labels) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .withoutExemplars()
                .classicUpperBounds(bounds)
                .register(mRegistry);
    }

    /**
     * Registers a gauge whose value is read each time the metrics are written.
     *
     * @param name the name
     * @param help what it shows
     * @param value reads the value
     */
    public void gauge(final String name, final String help, final DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /**
     * Writes all metrics.
     *
     * @return the text format of Prometheus
     * @throws IOException if the metrics can't be written
     */
    public byte[] write() throws IOException {
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        return out.toByteArray();
    }
}
