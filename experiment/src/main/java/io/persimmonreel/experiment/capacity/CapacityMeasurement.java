package io.persimmonreel.experiment.capacity;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.explain.DecisionRing;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.schedule.DaemonScheduler;
import io.persimmonreel.core.time.TimeSource;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Measures and prints the growth rates from which docs/CAPACITY.md derives its figures. */
public final class CapacityMeasurement {
    private static final int DESIGN_CUSTOMERS = 13_000;
    private static final int DESIGN_REPLICAS = 7_100;
    private static final int UPSTREAMS = 5;
    private static final int[] CUSTOMERS = {500, 1_500, 3_000, 5_000};
    private static final int[] REPLICAS = {100, 500, 1_500, 3_000};
    private static final int[] RECORDS = {4_000, 16_000, 32_000, 65_536};
    private static final int PARSES = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double BYTES_PER_KILOBYTE = 1_000.0;

    private final PrintStream mOut;

    private CapacityMeasurement(final PrintStream out) {
        mOut = out;
    }

    /**
     * Measures and prints all growth rates, which takes about a minute.
     *
     * @param out receives the tables
     * @throws ConfigurationException if a generated text is rejected
     * @throws InterruptedException if the thread is interrupted
     */
    public static void run(final PrintStream out)
            throws ConfigurationException, InterruptedException {
        final CapacityMeasurement measurement = new CapacityMeasurement(out);
        measurement.measureConfiguration();
        measurement.measureScheduler();
        measurement.measureDecisionRecords();
        new ClaimMeasurement(out).run();
        new HeartbeatMeasurement(out).run();
    }

    private void measureConfiguration() throws ConfigurationException, InterruptedException {
        final LinearFit size = new LinearFit("operator text", "customers", "KB");
        final LinearFit check = new LinearFit("parse and check", "customers", "ms");
        final LinearFit memory =
                new LinearFit("configuration and customer directory", "customers", "MB");
        parse(OperatorTextGenerator.text(CUSTOMERS[0], 10));
        for (final int customers : CUSTOMERS) {
            final String text = OperatorTextGenerator.text(customers, 10);
            size.add(customers, bytes(text) / BYTES_PER_KILOBYTE);
            check.add(customers, parseMillis(text));
            memory.add(customers, Meter.retainedMegabytes(() -> directory(text)));
        }
        size.print(mOut, DESIGN_CUSTOMERS);
        check.print(mOut, DESIGN_CUSTOMERS);
        memory.print(mOut, DESIGN_CUSTOMERS);
        final LinearFit replicaSize = new LinearFit("operator text", "replicas", "KB");
        for (final int replicas : REPLICAS) {
            final String text = OperatorTextGenerator.text(10, replicas / UPSTREAMS);
            replicaSize.add(replicas, bytes(text) / BYTES_PER_KILOBYTE);
        }
        replicaSize.print(mOut, DESIGN_REPLICAS);
    }

    private void measureScheduler() throws InterruptedException {
        final LinearFit memory = new LinearFit("scheduler and configuration", "replicas", "MB");
        final LinearFit load = new LinearFit("own load for a heartbeat", "replicas", "us");
        for (final int replicas : REPLICAS) {
            final String text = OperatorTextGenerator.text(10, replicas / UPSTREAMS);
            memory.add(replicas, Meter.retainedMegabytes(() -> scheduler(text)));
            final DaemonScheduler scheduler = scheduler(text);
            load.add(replicas, Meter.medianMicros(200, () -> scheduler.load(1_000_000L)));
        }
        memory.print(mOut, DESIGN_REPLICAS);
        load.print(mOut, DESIGN_REPLICAS);
    }

    private void measureDecisionRecords() throws InterruptedException {
        final LinearFit memory = new LinearFit("decision records", "records", "MB");
        for (final int records : RECORDS) {
            memory.add(records, Meter.retainedMegabytes(() -> filledRing(records)));
        }
        memory.print(mOut, DecisionRing.CAPACITY);
    }

    private static double parseMillis(final String text) {
        return Meter.medianMicros(PARSES, () -> parseUnchecked(text)) / MICROS_PER_MILLI;
    }

    private static Object directory(final String text) {
        final CustomerDirectory directory = new CustomerDirectory(fixedTime());
        final Configuration configuration = parseUnchecked(text);
        directory.onConfiguration(configuration);
        return new Object[] {configuration, directory};
    }

    private static DaemonScheduler scheduler(final String text) {
        final DaemonScheduler scheduler = new DaemonScheduler(new Incarnation(1), 1L, record -> {});
        scheduler.configure(parseUnchecked(text), 0L);
        return scheduler;
    }

    private static DecisionRing filledRing(final int records) {
        final DecisionRing ring = new DecisionRing();
        for (int i = 0; i < records; i++) {
            ring.add(
                    new DecisionRecord(
                            i,
                            String.format(Locale.ROOT, "%016x-%d", i, i),
                            Step.ROUTE,
                            "sent",
                            "assistant-" + i % 12,
                            "first token in about " + i + " ms, the least of 12 replicas"));
        }
        return ring;
    }

    private static Configuration parse(final String text) throws ConfigurationException {
        return new OperatorTextParser().parse("generated", 1, text);
    }

    private static Configuration parseUnchecked(final String text) {
        try {
            return parse(text);
        } catch (final ConfigurationException e) {
            throw new IllegalStateException("generated text was rejected", e);
        }
    }

    private static int bytes(final String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    static TimeSource fixedTime() {
        return new TimeSource() {
            @Override
            public long monotonicNanos() {
                return 3_600_000_000_000L;
            }

            @Override
            public long wallMillis() {
                return 1_790_000_000_000L;
            }
        };
    }
}
