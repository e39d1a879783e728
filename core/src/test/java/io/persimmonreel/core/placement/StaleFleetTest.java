package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.placement.VirtualFleet.Kind;
import io.persimmonreel.core.placement.VirtualFleet.Result;
import io.persimmonreel.core.placement.VirtualFleet.Size;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays loads on 78 daemons and 42 unlike engines, whose reports of each other's work are 0.7 s
 * old, and checks what callers get by kind.
 */
class StaleFleetTest {
    private static final int DAEMONS = 78;
    private static final int ENGINES = 42;
    private static final int SLOTS = 10;
    private static final int STALE_MILLIS = 700;
    private static final int SECONDS = 15;

    /** Requests a second that all slots together serve, slow engines included. */
    private static final double CAPACITY = 140;

    private static Map<Kind, Result> play(
            final double load, final boolean divided, final long seed) {
        final Size size = new Size(DAEMONS, ENGINES, SLOTS, load * CAPACITY, STALE_MILLIS, divided);
        return new VirtualFleet(size, seed).play(SECONDS);
    }

    /** Daemons that keep to their slots must not leave callers out while slots are free. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void belowTheCapacityAlmostAllAreServedInTime(final long seed) {
        play(0.6, true, seed)
                .forEach(
                        (kind, result) ->
                                assertThat(result.share()).as(kind.name()).isGreaterThan(0.95));
    }

    /**
     * Without own slots all daemons fill the engine that looked idle 0.7 s ago, and most answers
     * come late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void beyondTheCapacityEachKindIsServedMoreOften(final long seed) {
        final Map<Kind, Result> shared = play(1.3, false, seed);
        play(1.3, true, seed)
                .forEach(
                        (kind, result) -> {
                            assertThat(result.share())
                                    .as(kind.name())
                                    .isGreaterThan(shared.get(kind).share());
                            assertThat(result.late())
                                    .as(kind.name())
                                    .isLessThan(shared.get(kind).late());
                        });
    }
}
