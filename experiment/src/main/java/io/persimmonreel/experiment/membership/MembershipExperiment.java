package io.persimmonreel.experiment.membership;

import io.persimmonreel.core.membership.FailureDetectorTimes;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Measures false suspicions, time to detect and cost of the membership in virtual time. */
public final class MembershipExperiment {
    private static final long SEED = 26L;
    private static final long HEARTBEAT_NANOS = FailureDetectorTimes.STANDARD.heartbeatNanos();
    private static final int FLEET = 7;
    private static final int DESIGN_FLEET = 880;
    private static final double[] LOSSES = {0.01, 0.05};
    private static final double[] MULTIPLES = {2.0, 3.0, 3.5, 4.0, 4.5, 6.0, 10.0};
    private static final double DEAD_MULTIPLE = 10.0;
    private static final int[] SIZES = {7, 20, 60, 200, 400};
    private static final int STOPS = 20;
    private static final long HOURS = 4L;
    private static final long COST_SECONDS = 60L;

    private MembershipExperiment() {}

    /**
     * Prints the measurements.
     *
     * @param out receives the tables
     */
    public static void run(final PrintStream out) {
        out.println("False suspicions and time to detect, 7 members, heartbeat every 500 ms");
        out.println("loss  multiple  suspicions/h  false deaths/h  suspect mean s  max s");
        for (final double loss : LOSSES) {
            for (final double multiple : MULTIPLES) {
                detector(out, loss, multiple);
            }
        }
        out.println();
        out.println("Cost per member without load digests, 1% loss");
        out.println("members  messages/s  bytes/s  dead by heartbeats mean s  max s  told");
        final List<double[]> points = new ArrayList<>();
        for (final int size : SIZES) {
            points.add(cost(out, size));
        }
        final double[] a = points.get(points.size() - 2);
        final double[] b = points.get(points.size() - 1);
        final double share = (DESIGN_FLEET - b[0]) / (b[0] - a[0]);
        out.printf(
                Locale.ROOT,
                "%7d  %10.1f  %7.0f  by slope of the last two points%n",
                DESIGN_FLEET,
                b[1] + (b[1] - a[1]) * share,
                b[2] + (b[2] - a[2]) * share);
    }

    private static void detector(final PrintStream out, final double loss, final double multiple) {
        final FailureDetectorTimes times = times(multiple);
        final HeartbeatFleet fleet = new HeartbeatFleet(FLEET, loss, times, SEED);
        fleet.run(TimeUnit.SECONDS.toNanos(10));
        fleet.resetCounts();
        fleet.run(TimeUnit.HOURS.toNanos(HOURS));
        final List<Long> detected = new ArrayList<>();
        for (int i = 0; i < STOPS; i++) {
            final HeartbeatFleet other = new HeartbeatFleet(FLEET, loss, times, SEED + i);
            other.run(TimeUnit.SECONDS.toNanos(10));
            other.stop(1 + i % FLEET);
            other.run(TimeUnit.SECONDS.toNanos(20));
            detected.addAll(multiple >= DEAD_MULTIPLE ? other.deadNanos() : other.suspectedNanos());
        }
        out.printf(
                Locale.ROOT,
                "%3.0f%%  %8.1f  %12.2f  %14.2f  %14.2f  %5.2f%n",
                loss * 100,
                multiple,
                (double) fleet.suspicions() / HOURS,
                (double) fleet.falseDeaths() / HOURS,
                mean(detected),
                maximum(detected));
    }

    /** At the largest multiple the time limit is the one for dead members. */
    private static FailureDetectorTimes times(final double multiple) {
        return new FailureDetectorTimes(
                HEARTBEAT_NANOS,
                Math.round(Math.min(multiple, DEAD_MULTIPLE - 1) * HEARTBEAT_NANOS),
                Math.round(DEAD_MULTIPLE * HEARTBEAT_NANOS));
    }

    private static double[] cost(final PrintStream out, final int size) {
        final HeartbeatFleet fleet =
                new HeartbeatFleet(size, LOSSES[0], FailureDetectorTimes.STANDARD, SEED);
        fleet.run(TimeUnit.SECONDS.toNanos(10));
        fleet.resetCounts();
        fleet.run(TimeUnit.SECONDS.toNanos(COST_SECONDS));
        final double messages = (double) fleet.messages() / COST_SECONDS / size;
        final double bytes = (double) fleet.bytes() / COST_SECONDS / size;
        fleet.stop(2);
        fleet.run(TimeUnit.SECONDS.toNanos(15));
        out.printf(
                Locale.ROOT,
                "%7d  %10.1f  %7.0f  %25.2f  %5.2f  %d of %d%n",
                size,
                messages,
                bytes,
                mean(fleet.deadNanos()),
                maximum(fleet.deadNanos()),
                fleet.deadNanos().size(),
                size - 1);
        return new double[] {size, messages, bytes};
    }

    private static double mean(final List<Long> nanos) {
        return nanos.stream().mapToLong(Long::longValue).average().orElse(Double.NaN) / 1e9;
    }

    private static double maximum(final List<Long> nanos) {
        return nanos.stream().mapToLong(Long::longValue).max().orElse(0L) / 1e9;
    }
}
