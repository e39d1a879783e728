package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import io.persimmonreel.core.admission.SimulatedOverload.Kind;
import io.persimmonreel.core.admission.SimulatedOverload.Load;
import io.persimmonreel.core.admission.SimulatedOverload.Order;
import io.persimmonreel.core.admission.SimulatedOverload.Request;
import io.persimmonreel.core.admission.SimulatedOverload.Result;
import io.persimmonreel.core.placement.UpstreamCapacity;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays bursts beyond the capacity with the order of the scheduler and with earliest start first,
 * and prints what callers get. Guards against an overload that makes nearly all requests just late.
 */
class OverloadSimulationTest {
    private static final long SEED = 1;

    /** At most this share of the callers may be served less than by earliest start first. */
    private static final double FEWER_SERVED = 0.02;

    /** Differences between ranks below this are within the noise of a few thousand requests. */
    private static final double RANK_NOISE = 0.01;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Orders as the scheduler does. */
    private static final class SchedulerOrder implements Order {
        private final ServedShares mServed = new ServedShares();

        @Override
        public List<Request> arrange(
                final List<Request> waiting,
                final UpstreamCapacity capacity,
                final double nowMillis) {
            final List<Candidate<Request>> candidates =
                    waiting.stream()
                            .map(r -> Candidate.of(r, r.timeLeft(), r.run(), r.rank()))
                            .toList();
            return OverloadOrder.arrange(
                            OverloadOrder.bySoonestStart(candidates),
                            ahead -> capacity.queuedMillis() + ahead / capacity.ownSlots(),
                            mServed,
                            nanos(nowMillis))
                    .requests();
        }

        @Override
        public void onArrived(final Request request, final double nowMillis) {
            mServed.onArrived(request.rank(), nanos(nowMillis));
        }

        @Override
        public void onSent(final Request request, final double nowMillis) {
            mServed.onSent(request.rank(), nanos(nowMillis));
        }

        private static long nanos(final double millis) {
            return (long) (millis * NANOS_PER_MILLI);
        }
    }

    private static List<Request> earliestStartFirst(
            final List<Request> waiting, final UpstreamCapacity capacity, final double nowMillis) {
        final Map<Request, QueuePosition> positions = new HashMap<>();
        waiting.forEach(request -> positions.put(request, request.position()));
        return waiting.stream().sorted(Comparator.comparing(positions::get)).toList();
    }

    static Stream<Load> loads() {
        return Stream.concat(
                OverloadLoads.ofOneKind().stream(), OverloadLoads.ofDeployments().stream());
    }

    private static Map<Kind, Result> simulate(
            final Load load, final String order, final Supplier<Order> orders) {
        final Map<Kind, Result> results = new SimulatedOverload(load, orders, SEED).simulate();
        System.out.printf("%s, %s, seed %d%n", load.name(), order, SEED);
        System.out.printf("  %-12s %s%n", "all", total(results));
        if (results.size() > 1) {
            results.forEach((kind, r) -> System.out.printf("  %-12s %s%n", kind.name(), r));
        }
        return results;
    }

    private static Result total(final Map<Kind, Result> results) {
        final Result all = new Result();
        results.values().forEach(all::add);
        return all;
    }

    @Nested
    class ABurst {
        @ParameterizedTest
        @MethodSource("io.persimmonreel.core.admission.OverloadSimulationTest#loads")
        void leavesMoreCallersOnTimeThanEarliestStartFirst(final Load load) {
            final Result before =
                    total(
                            simulate(
                                    load,
                                    "earliest start first",
                                    () -> OverloadSimulationTest::earliestStartFirst));
            final Map<Kind, Result> results = simulate(load, "scheduler", SchedulerOrder::new);
            final Result now = total(results);
            assertThat(now.onTime()).isGreaterThan(before.onTime());
            assertThat(now.served()).isGreaterThanOrEqualTo(before.served() - FEWER_SERVED);
            assertThatKindsAreServedFairly(results, now);
        }

        @ParameterizedTest
        @MethodSource("io.persimmonreel.core.admission.OverloadLoads#ofHeavyTails")
        void servesTheLargestAtLeastHalfAsOftenAsTheirKind(final Load load) {
            simulate(load, "scheduler", SchedulerOrder::new)
                    .forEach(
                            (kind, result) -> {
                                assertThat(result.largestServed())
                                        .as("largest tenth of %s", kind.name())
                                        .isGreaterThanOrEqualTo(result.served() / 2);
                                assertThat(result.largeServed())
                                        .as("fifth below it of %s", kind.name())
                                        .isGreaterThanOrEqualTo(result.served() / 2);
                            });
        }

        private void assertThatKindsAreServedFairly(
                final Map<Kind, Result> results, final Result all) {
            results.forEach(
                    (kind, result) -> {
                        assertThat(result.largestServed())
                                .as("largest tenth of %s", kind.name())
                                .isGreaterThanOrEqualTo(result.restServed() / 2);
                        assertThat(result.served())
                                .as(kind.name())
                                .isGreaterThanOrEqualTo(all.served() / 4);
                        results.forEach(
                                (other, otherResult) -> {
                                    if (other.rank() > kind.rank()) {
                                        assertThat(result.served())
                                                .as("%s against %s", kind.name(), other.name())
                                                .isGreaterThanOrEqualTo(
                                                        otherResult.served() - RANK_NOISE);
                                    }
                                });
                    });
        }
    }
}
