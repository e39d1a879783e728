package io.persimmonreel.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.ExampleTexts;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RolloutPropertyTest {
    private static final int SEEDS = 8;
    private static final int LOADS_PER_MINUTE = 6;
    private static final int MEMBERS = 7;
    private static final long QUARTER = RolloutSimulation.REPLICAS / 4;
    private static final long HALF = RolloutSimulation.REPLICAS / 2;

    private static String text(final String modelVersion) throws IOException {
        return ExampleTexts.load("saaf-paws")
                .replace("modelVersion: \"3\"", "modelVersion: \"" + modelVersion + "\"");
    }

    private static RolloutSimulation simulation(final long seed, final boolean fencing)
            throws IOException {
        final RolloutSimulation simulation = new RolloutSimulation(seed, fencing);
        for (int i = 0; i < MEMBERS; i++) {
            simulation.startDaemon().mState.offer("service", 10, text("3"));
        }
        run(simulation, 20_000, false);
        return simulation;
    }

    private static void run(
            final RolloutSimulation simulation, final long millis, final boolean lateOrders) {
        final long end = simulation.now() + millis;
        while (simulation.now() < end) {
            simulation.tick();
            if (!lateOrders) {
                assertThat(simulation.loading())
                        .as(simulation.toString())
                        .isLessThanOrEqualTo(QUARTER);
            }
            for (final RolloutSimulation.Daemon daemon : simulation.mDaemons) {
                // A daemon that was paused until just now has not read the reports yet.
                if (simulation.now() >= daemon.mPausedUntilMillis + 5_000) {
                    assertThat(simulation.capacity(daemon))
                            .isGreaterThanOrEqualTo(HALF - (lateOrders ? 1 : 0));
                }
            }
        }
    }

    private static void expectAllLoaded(final RolloutSimulation simulation, final String version) {
        assertThat(simulation.mEngines).allMatch(e -> version.equals(e.loaded()) && !e.isLoading());
        assertThat(simulation.mDaemons).allMatch(n -> n.mPlanner.heldReplicas().isEmpty());
    }

    @Nested
    class ConfigurationChanges {
        /** Guards against configuration changes in a row that stop over half of the replicas. */
        @Test
        void keepHalfInUseWithFencing() throws IOException {
            applyFourChanges(true);
        }

        @Test
        void keepHalfInUseWithoutFencing() throws IOException {
            applyFourChanges(false);
        }

        private void applyFourChanges(final boolean fencing) throws IOException {
            for (long seed = 1; seed <= SEEDS; seed++) {
                final RolloutSimulation simulation = simulation(seed, fencing);
                for (int edit = 1; edit <= 4; edit++) {
                    simulation.mDaemons.get(edit).mPausedUntilMillis =
                            simulation.now() + simulation.random().nextInt(60_000);
                    final String model = List.of("4", "5", "5", "6").get(edit - 1);
                    simulation.offerConfiguration(10 + edit, text(model) + "# " + edit + "\n");
                    run(simulation, 10_000 + simulation.random().nextInt(200_000), false);
                }
                run(simulation, 1_500_000, false);
                expectAllLoaded(simulation, "6");
                assertThat(simulation.mostLoadsInAMinute()).isLessThanOrEqualTo(LOADS_PER_MINUTE);
            }
        }

        /** Guards against a daemon that starts without former models and stops most replicas. */
        @Test
        void keepHalfInUseAtDaemonsThatStartLater() throws IOException {
            for (long seed = 1; seed <= SEEDS; seed++) {
                final RolloutSimulation simulation = simulation(seed, seed % 2 == 0);
                simulation.offerConfiguration(11, text("4"));
                run(simulation, 10_000 + simulation.random().nextInt(100_000), false);
                simulation.startDaemon().mState.offer("peer", 11, text("4"));
                run(simulation, 10_000 + simulation.random().nextInt(100_000), false);
                simulation.offerConfiguration(12, text("5"));
                run(simulation, 1_500_000, false);
                expectAllLoaded(simulation, "5");
                assertThat(simulation.mostLoadsInAMinute()).isLessThanOrEqualTo(LOADS_PER_MINUTE);
            }
        }
    }

    @Nested
    class LateOrders {
        /** Guards against serving a model whose load was ordered late by a paused daemon. */
        @Test
        void areRepairedAndGetNoWork() throws IOException {
            for (long seed = 1; seed <= SEEDS; seed++) {
                final RolloutSimulation simulation = simulation(seed, false);
                simulation.offerConfiguration(11, text("4"));
                run(simulation, 1_200_000, false);
                final RolloutSimulation.Engine engine = simulation.mEngines.get((int) seed % 12);
                simulation.offerConfiguration(12, text("5"));
                run(simulation, 30_000, false);
                simulation.deliver(
                        engine,
                        new EngineOrder(engine.id(), "", "load", "kiosk-assistant", "2", 9));
                while (engine.isLoading()) {
                    run(simulation, RolloutSimulation.TICK_MILLIS, true);
                }
                if ("2".equals(engine.loaded())) {
                    // After these ticks all daemons have read a report.
                    run(simulation, 20 * RolloutSimulation.TICK_MILLIS, true);
                    assertThat(simulation.mDaemons)
                            .allMatch(
                                    n ->
                                            !"2".equals(engine.loaded())
                                                    || !n.mPlanner.mayServe(engine.id()));
                }
                run(simulation, 1_800_000, true);
                expectAllLoaded(simulation, "5");
            }
        }
    }
}
