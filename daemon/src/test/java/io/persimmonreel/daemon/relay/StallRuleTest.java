package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.placement.CachedPrompt;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.ResendRule;
import io.persimmonreel.core.route.Route;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StallRuleTest {
    private static final long OBJECTIVE_MILLIS = 400;
    private static final long GAP_OBJECTIVE_MILLIS = 400;
    private static final long PATIENCE_MILLIS = 3_200;

    private final StallRule mRule = new StallRule();

    private static Route route() {
        return new Route(
                "draft",
                "acme.example",
                "/draft/",
                ResendRule.RESUMABLE_STREAM,
                12_000,
                OBJECTIVE_MILLIS,
                GAP_OBJECTIVE_MILLIS,
                PATIENCE_MILLIS,
                0,
                List.of(new Route.WeightedUpstream("app", 1)),
                2,
                false,
                false);
    }

    private static Dispatch dispatch(final double predictedFirstMillis) {
        final Replica replica =
                new Replica(new ReplicaEntry("r", "app", "127.0.0.1", 1, "zone", 4, false, 1));
        return new Dispatch(
                new Choice(replica, predictedFirstMillis, 0, 1_000, 0, 0, 0, 0, CachedPrompt.NONE),
                nanos(1));
    }

    private static long nanos(final long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private boolean isStalled(final Dispatch dispatch, final long atMillis) {
        return dispatch.silentMillis(nanos(atMillis)) >= mRule.limitMillis(route(), dispatch);
    }

    @Nested
    class WithinAStream {
        /** A replica that needs twice the objective for each event is slow, but not stalled. */
        @Test
        void acceptsASlowStream() {
            final Dispatch dispatch = dispatch(50);
            for (long at = 100; at < 10_000; at += 2 * GAP_OBJECTIVE_MILLIS) {
                assertThat(isStalled(dispatch, at)).isFalse();
                dispatch.onEvent(nanos(at));
            }
        }

        @Test
        void endsTheWaitForAStalledStream() {
            final Dispatch dispatch = dispatch(50);
            dispatch.onEvent(nanos(100));
            assertThat(isStalled(dispatch, 100 + 3 * GAP_OBJECTIVE_MILLIS)).isTrue();
        }
    }

    @Nested
    class BeforeTheFirstEvent {
        @Test
        void waitsLongerThanTheObjective() {
            assertThat(isStalled(dispatch(50), OBJECTIVE_MILLIS)).isFalse();
        }

        @Test
        void waitsForALongPrediction() {
            assertThat(isStalled(dispatch(700), 2_000)).isFalse();
            assertThat(isStalled(dispatch(700), 2_200)).isTrue();
        }

        /** Guards against a resend whose first event comes after the caller has left. */
        @Test
        void endsWhileAnotherReplicaCanServeTheCaller() {
            assertThat(isStalled(dispatch(1_000), PATIENCE_MILLIS - 1_100)).isFalse();
            assertThat(isStalled(dispatch(1_000), PATIENCE_MILLIS - 900)).isTrue();
        }

        /** Guards against a resend of a response that comes sooner than another would. */
        @Test
        void lastsUntilAResendCouldNotBeLater() {
            assertThat(isStalled(dispatch(150), OBJECTIVE_MILLIS + 140)).isFalse();
            assertThat(isStalled(dispatch(150), OBJECTIVE_MILLIS + 160)).isTrue();
        }
    }
}
