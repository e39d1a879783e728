package io.persimmonreel.experiment.membership;

import io.persimmonreel.core.membership.FailureDetectorTimes;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Measures false suspicions, detection times and message costs of the failure detector. */
public final class MembershipExperiment {
    private static final long SEED = 26L;
    private static final long HEARTBEAT_NANOS =
            FailureDetectorTimes.STANDARD.heartbeatIntervalNanos();
    private static final int FLEET_SIZE = 7;
    private static final int DESIGN_FLEET_SIZE = 880;
    private static final double[] LOSS_SHARES = {0.01, 0.05};
    private static final double[] SUSPECT_MULTIPLES = {2.0, 3.0, 3.5, 4.0, 4.5, 6.0, 10.0};
    private static final double DEAD_MULTIPLE = 10.0;
    private static final int[] FLEET_SIZES = {7, 20, 60, 200, 400};
    private static final int STOPS = 20;
    private static final long DETECTOR_HOURS = 4L;
    private static final long COST_SECONDS = 60L;

    private MembershipExperiment() {}

    /**
     * Runs the experiment in virtual time and prints its results.
     *
     * @param out receives the tables
     */
    public static void run(final PrintStream out) {
        out.println("False suspicions and time to detect, 7 members, heartbeat every 500 ms");
        out.println("loss  multiple  suspicions/h  false deaths/h  suspect mean s  max s");
        for (final double loss : LOSS_SHARES) {
            for (final double multiple : SUSPECT_MULTIPLES) {
                measureDetector(out, loss, multiple);
            }
        }
        out.println();
        out.println("Cost per member without load digests, 1% loss");
        out.println("members  messages/s  bytes/s  dead by heartbeats mean s  max s  told");
        final List<double[]> points = new ArrayList<>();
        for (final int size : FLEET_SIZES) {
            points.add(measureCost(out, size));
        }
        final double[] secondLast = points.get(points.size() - 2);
        final double[] last = points.get(points.size() - 1);
        final double factor = (DESIGN_FLEET_SIZE - last[0]) / (last[0] - secondLast[0]);
        out.printf(
                Locale.ROOT,
                "%7d  %10.1f  %7.0f  by slope of the last two points%n",
                DESIGN_FLEET_SIZE,
                last[1] + (last[1] - secondLast[1]) * factor,
                last[2] + (last[2] - secondLast[2]) * factor);
    }

    private static void measureDetector(
            final PrintStream out, final double loss, final double multiple) {
        final FailureDetectorTimes times = times(multiple);
        final HeartbeatFleet fleet = new HeartbeatFleet(FLEET_SIZE, loss, times, SEED);
        fleet.runFor(TimeUnit.SECONDS.toNanos(10));
        fleet.resetCounts();
        fleet.runFor(TimeUnit.HOURS.toNanos(DETECTOR_HOURS));
        final List<Long> detected = new ArrayList<>();
        for (int i = 0; i < STOPS; i++) {
            final HeartbeatFleet stopFleet = new HeartbeatFleet(FLEET_SIZE, loss, times, SEED + i);
            stopFleet.runFor(TimeUnit.SECONDS.toNanos(10));
            stopFleet.stop(1 + i % FLEET_SIZE);
            stopFleet.runFor(TimeUnit.SECONDS.toNanos(20));
            detected.addAll(
                    multiple >= DEAD_MULTIPLE
                            ? stopFleet.deadAfterNanos()
                            : stopFleet.suspectedAfterNanos());
        }
        out.printf(
                Locale.ROOT,
                "%3.0f%%  %8.1f  %12.2f  %14.2f  %14.2f  %5.2f%n",
                loss * 100,
                multiple,
                (double) fleet.falseSuspicions() / DETECTOR_HOURS,
                (double) fleet.falseDeaths() / DETECTOR_HOURS,
                meanSeconds(detected),
                maximumSeconds(detected));
    }

    /**
     * Returns times that suspect a member after a multiple of the heartbeat interval. At the
     * largest multiple, the measured limit is the one for dead members.
     */
    private static FailureDetectorTimes times(final double multiple) {
        return new FailureDetectorTimes(
                HEARTBEAT_NANOS,
                Math.round(Math.min(multiple, DEAD_MULTIPLE - 1) * HEARTBEAT_NANOS),
                Math.round(DEAD_MULTIPLE * HEARTBEAT_NANOS));
    }

    private static double[] measureCost(final PrintStream out, final int size) {
        final HeartbeatFleet fleet =
                new HeartbeatFleet(size, LOSS_SHARES[0], FailureDetectorTimes.STANDARD, SEED);
        fleet.runFor(TimeUnit.SECONDS.toNanos(10));
        fleet.resetCounts();
        fleet.runFor(TimeUnit.SECONDS.toNanos(COST_SECONDS));
        final double messages = (double) fleet.messages() / COST_SECONDS / size;
        final double bytes = (double) fleet.bytes() / COST_SECONDS / size;
        fleet.stop(2);
        fleet.runFor(TimeUnit.SECONDS.toNanos(15));
        out.printf(
                Locale.ROOT,
                "%7d  %10.1f  %7.0f  %25.2f  %5.2f  %d of %d%n",
                size,
                messages,
                bytes,
                meanSeconds(fleet.deadAfterNanos()),
                maximumSeconds(fleet.deadAfterNanos()),
                fleet.deadAfterNanos().size(),
                size - 1);
        return new double[] {size, messages, bytes};
    }

    private static double meanSeconds(final List<Long> nanos) {
        return nanos.stream().mapToLong(Long::longValue).average().orElse(Double.NaN) / 1e9;
    }

    private static double maximumSeconds(final List<Long> nanos) {
        return nanos.stream().mapToLong(Long::longValue).max().orElse(0L) / 1e9;
    }
}
