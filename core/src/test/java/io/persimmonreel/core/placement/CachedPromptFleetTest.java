package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.placement.CachedPromptFleet.Result;
import io.persimmonreel.core.placement.CachedPromptFleet.Scenario;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares callers and engines with and without a bounded and measured estimate of cached prompts,
 * with 59 daemons, 42 engines of different speed, and late load reports.
 */
class CachedPromptFleetTest {
    private static final int SECONDS = 10;
    private static final int SESSIONS = 600;

    /** The fleet is full at about 0.42 of the load of the bank in this simulation. */
    private static final double BELOW_CAPACITY = 0.35;

    private static final double ABOVE_CAPACITY = 0.6;

    /** Most requests have the prompt of a session. */
    private static final double OFTEN = 0.7;

    /** Few requests have the prompt of a session, so few prompts are cached anywhere. */
    private static final double SELDOM = 0.1;

    private static Result simulate(
            final double load, final double repeated, final boolean bounded, final long seed) {
        final Scenario scenario = new Scenario(load, repeated, SESSIONS, bounded);
        final Result result = new CachedPromptFleet(scenario, seed).simulate(SECONDS);
        System.out.println(scenario + ", seed " + seed + ": " + result);
        return result;
    }

    /** A wrong estimate makes requests queue at a replica that has to read their prompt anyway. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void belowCapacityRequestsAreOnTime(final long seed) {
        for (final double repeated : new double[] {SELDOM, OFTEN}) {
            assertThat(simulate(BELOW_CAPACITY, repeated, true, seed).onTimeShare())
                    .isGreaterThan(0.95)
                    .isGreaterThan(
                            simulate(BELOW_CAPACITY, repeated, false, seed).onTimeShare() - 0.02);
        }
    }

    /** Preferred replicas must not fill up while others are free. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aboveCapacityWorkIsDividedBySpeed(final long seed) {
        for (final double repeated : new double[] {SELDOM, OFTEN}) {
            final Result result = simulate(ABOVE_CAPACITY, repeated, true, seed);
            final Result unbounded = simulate(ABOVE_CAPACITY, repeated, false, seed);
            assertThat(result.busiestToMean()).isLessThan(1.3);
            assertThat(result.servedShare()).isGreaterThan(unbounded.servedShare() - 0.02);
            assertThat(result.onTimeShare()).isGreaterThan(unbounded.onTimeShare() - 0.02);
        }
    }
}
