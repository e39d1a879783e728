package io.persimmonreel.core.admission;

import io.persimmonreel.core.admission.SimulatedOverload.Kind;
import io.persimmonreel.core.admission.SimulatedOverload.Load;
import java.util.ArrayList;
import java.util.List;

/**
 * Contains the loads of docs/hard-load.md: bursts of one kind of request, and the kinds of the two
 * deployments with their ranks, sizes and times.
 */
final class OverloadLoads {
    private static final int SLOTS = 130;
    private static final int FEW_DAEMONS = 10;
    private static final double SIZE_SPREAD = 0.5;
    private static final int[] DAEMONS = {7, 30, 59};
    private static final double[] BURSTS = {1.2, 1.5};
    private static final double[] HEAVY_TAILS = {0.7, 0.9};

    private OverloadLoads() {}

    /** Returns the three bursts of the table of part 5. */
    static List<Load> ofOneKind() {
        return List.of(
                oneKind(6, 1.6, 400, 12_000),
                oneKind(15, 1.6, 400, 12_000),
                oneKind(25, 1.3, 800, 15_000));
    }

    /** Returns bursts of the kinds of both deployments on one pool and on several daemons. */
    static List<Load> ofDeployments() {
        return List.of(
                engines("guion", 468, 1, 6, 1.5, guion()),
                engines("guion", 468, FEW_DAEMONS, 15, 1.5, guion()),
                engines("guion", 468, 138, 6, 1.5, guion()),
                engines("kunaflow", 420, 1, 15, 1.4, kunaflow()),
                engines("kunaflow", 420, FEW_DAEMONS, 6, 1.6, kunaflow()),
                engines("kunaflow", 420, 59, 15, 1.3, kunaflow()),
                engines("kunaflow plain", 24, 1, 6, 1.5, plain(85.7, 393, 105, 41.9, 4_080)),
                engines("guion plain", 24, 4, 15, 1.5, plain(57.1, 307, 139, 55.8, 1_540)));
    }

    /** Returns bursts of requests of which the largest have about nine times the mean size. */
    static List<Load> ofHeavyTails() {
        final List<Load> loads = new ArrayList<>();
        for (final int daemons : DAEMONS) {
            for (final double burst : BURSTS) {
                for (final double spread : HEAVY_TAILS) {
                    final String name =
                            String.format("kunaflow, %s daemons, %s, %s", daemons, burst, spread);
                    loads.add(new Load(name, 420, daemons, 15, burst, spread, kunaflow()));
                }
            }
        }
        return loads;
    }

    private static Load engines(
            final String name,
            final int slots,
            final int daemons,
            final double seconds,
            final double burst,
            final List<Kind> kinds) {
        return new Load(
                String.format("%s, %s s at %s, %s daemons", name, seconds, burst, daemons),
                slots,
                daemons,
                seconds,
                burst,
                SIZE_SPREAD,
                kinds);
    }

    private static Load oneKind(
            final double seconds,
            final double burst,
            final double objective,
            final double deadline) {
        return engines(
                "one kind",
                SLOTS,
                1,
                seconds,
                burst,
                List.of(new Kind("stream", 0, 1, 60, 600, objective, deadline, deadline)));
    }

    /** The time to the first event is the prefill, and each token of an event takes a step. */
    private static List<Kind> guion() {
        return List.of(
                new Kind("long draft", 0, 128, 78, 1_144, 619, 2_476, 10_324),
                new Kind("next line", 1, 160, 7, 800, 258, 2_400, 8_254),
                new Kind("tag", 2, 270, 21, 82, 310, 2_400, 2_580));
    }

    private static List<Kind> kunaflow() {
        return List.of(
                new Kind("long review", 0, 74.8, 107, 1_294, 819, 4_000, 12_292),
                new Kind("chat", 1, 219, 10, 900, 408, 4_000, 12_239),
                new Kind("label", 2, 125, 29, 103, 510, 3_057, 3_057));
    }

    private static List<Kind> plain(
            final double millis,
            final double objective,
            final double writes,
            final double reads,
            final double deadline) {
        return List.of(
                new Kind("write", 2, writes, millis, millis, objective, deadline, deadline),
                new Kind("read", 2, reads, millis, millis, objective, deadline, deadline));
    }
}
