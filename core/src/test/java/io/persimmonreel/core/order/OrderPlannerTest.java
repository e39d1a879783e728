package io.persimmonreel.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.config.ExampleTexts;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.time.ManualTime;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderPlannerTest {
    private static final String REPLICA = "assistant-1";
    private static final Duration TICK = Duration.ofMillis(500);

    /** Six loads a minute in slots that allow for a skew of 2 s. */
    private static final long SLOT_MILLIS = LoadRateLimiter.slotMillis(6, Duration.ofSeconds(2));

    private final ManualTime mTime = new ManualTime();
    private final ConfigurationState mState = new ConfigurationState(mTime, r -> {});
    private final OrderPlanner mPlanner = planner(1, mState);

    private OrderPlanner planner(final long id, final ConfigurationState state) {
        return new OrderPlanner(new Incarnation(id), mTime, state, r -> {});
    }

    private static String text(final String modelVersion) throws IOException {
        return ExampleTexts.load("saaf-paws")
                .replace("modelVersion: \"3\"", "modelVersion: \"" + modelVersion + "\"");
    }

    private static ReportedModel report(final String modelVersion, final long fence) {
        return new ReportedModel(REPLICA, "kiosk-assistant", modelVersion, fence);
    }

    @BeforeEach
    void accept() throws IOException {
        mState.offer("service", 10, text("3"));
        assertThat(mPlanner.heldReplicas()).isEmpty();
        mTime.advance(Duration.ofNanos(LoadRateLimiter.SETTLE_NANOS));
        awaitSlot();
    }

    /** Advances to the start of the next slot, in which a single member may send. */
    private void awaitSlot() {
        mTime.advance(Duration.ofMillis(SLOT_MILLIS - mTime.wallMillis() % SLOT_MILLIS));
    }

    @Nested
    class Orders {
        @Test
        void bringADifferingReplicaToTheDesiredModel() {
            assertThat(mPlanner.mayServe(REPLICA)).as("no report yet").isTrue();
            assertThat(mPlanner.onReport(report("2", 9)))
                    .contains(
                            new EngineOrder(
                                    REPLICA, "127.0.0.1:9101", "load", "kiosk-assistant", "3", 10));
            assertThat(mPlanner.mayServe(REPLICA)).isFalse();
            assertThat(mPlanner.heldReplicas()).containsExactly(REPLICA);
            assertThat(mPlanner.onReport(report("3", 10))).isEmpty();
            assertThat(mPlanner.mayServe(REPLICA)).isTrue();
        }

        /** Guards against loads after a configuration change that changes no model. */
        @Test
        void areNotSentForAFenceAlone() {
            assertThat(mPlanner.onReport(report("3", 4))).isEmpty();
        }

        /** Guards against a daemon with a stale configuration that reverts a load. */
        @Test
        void areNotSentBelowTheReportedFence() {
            assertThat(mPlanner.onReport(report("4", 11))).isEmpty();
            assertThat(mState.higherFence()).hasValue(11);
            assertThat(mPlanner.mayServe(REPLICA)).isFalse();
        }

        /** Guards against an engine that ignores fencing and keeps the model of a late order. */
        @Test
        void areSentAgainAfterALateOrder() {
            assertThat(mPlanner.onReport(report("3", 10))).isEmpty();
            assertThat(mPlanner.onReport(report("2", 9))).isPresent();
        }

        /** Guards against repeats that keep an engine from ever finishing a load. */
        @Test
        void areRepeatedWithGrowingWaits() {
            assertThat(mPlanner.onReport(report("2", 9))).isPresent();
            final List<Long> repeats = new ArrayList<>();
            for (long second = 1; second <= 500; second++) {
                mTime.advance(Duration.ofSeconds(1));
                if (mPlanner.onReport(report("2", 10)).isPresent()) {
                    repeats.add(second);
                }
            }
            // The waits end 60, 180 and 420 s after the order; then the next slot is used.
            final long slot = SLOT_MILLIS / 1000 + 1;
            assertThat(repeats).hasSize(3);
            assertThat(repeats.get(0)).isBetween(60L, 60L + slot);
            assertThat(repeats.get(1)).isBetween(repeats.get(0) + 120, 180L + 2 * slot);
            assertThat(repeats.get(2)).isBetween(repeats.get(1) + 240, 420L + 3 * slot);
        }

        @Test
        void areSentAnewAfterAFailedDelivery() {
            mPlanner.orderFailed(mPlanner.onReport(report("2", 9)).orElseThrow());
            assertThat(mPlanner.onReport(report("2", 9))).as("rate").isEmpty();
            awaitSlot();
            assertThat(mPlanner.onReport(report("2", 9))).isPresent();
        }
    }

    @Nested
    class Update {
        /** Guards against a change of model that stops all replicas until they have loaded it. */
        @Test
        void keepsReplicasOfThePreviousStateInUse() throws IOException {
            reportAll("3", 10);
            mState.offer("service", 11, text("4"));
            assertThat(mPlanner.heldReplicas()).isEmpty();
            assertThat(mPlanner.onReport(report("3", 10))).isPresent();
            assertThat(mPlanner.heldReplicas()).as("load in progress").containsExactly(REPLICA);
            assertThat(mPlanner.serving("assistant-2").orElseThrow().modelVersion()).isEqualTo("3");
        }

        /** Guards against serving a late order's model, and against a lasting mix of models. */
        @Test
        void keepsOtherReplicasOutOfUse() throws IOException {
            reportAll("3", 10);
            mState.offer("service", 11, text("4"));
            mPlanner.onReport(model("assistant-2", "2", 9));
            assertThat(mPlanner.heldReplicas()).containsExactly("assistant-2");
            for (int i = 7; i <= 12; i++) {
                mPlanner.onReport(model("assistant-" + i, "4", 11));
            }
            assertThat(mPlanner.heldReplicas())
                    .as("half is updated")
                    .hasSize(6)
                    .contains("assistant-3");
        }

        /** Guards against a daemon that starts during a rollout and stops all replicas. */
        @Test
        void isFollowedByADaemonThatStartsLater() throws IOException {
            mState.offer("service", 11, text("4"));
            reportAll("3", 10);
            mPlanner.onReport(model("assistant-1", "4", 11));
            mPlanner.onReport(model("assistant-2", "2", 9));
            assertThat(mPlanner.heldReplicas()).containsExactly("assistant-2");
        }

        private void reportAll(final String version, final long fence) {
            for (int i = 1; i <= 12; i++) {
                mPlanner.onReport(model("assistant-" + i, version, fence));
            }
        }

        private ReportedModel model(final String id, final String version, final long fence) {
            return new ReportedModel(id, "kiosk-assistant", version, fence);
        }
    }

    @Nested
    class Members {
        /** Guards against every daemon sending the same order after a report. */
        @Test
        void takeTurnsAsSender() {
            final List<Incarnation> members =
                    LongStream.range(0, 7).mapToObj(Incarnation::new).toList();
            final List<OrderPlanner> planners =
                    members.stream().map(m -> planner(m.id(), mState)).toList();
            planners.forEach(p -> p.updateMembers(members, 0));
            mTime.advance(Duration.ofNanos(LoadRateLimiter.SETTLE_NANOS));
            awaitSlot();
            long fence = 9;
            int sent = 0;
            for (int tick = 0; tick < 100; tick++) {
                final long reported = fence;
                final long senders =
                        planners.stream()
                                .filter(p -> p.onReport(report("2", reported)).isPresent())
                                .count();
                sent += senders;
                fence = senders > 0 ? 10 : fence;
                mTime.advance(TICK);
            }
            assertThat(sent).isEqualTo(1);
        }

        /** Guards against both sides of a network partition using the whole load rate. */
        @Test
        void leaveTheSlotsOfLostMembersUnused() {
            mPlanner.updateMembers(List.of(new Incarnation(1)), 6);
            int sent = 0;
            for (int tick = 0; tick < 7 * SLOT_MILLIS * 10 / TICK.toMillis(); tick++) {
                mTime.advance(TICK);
                final Optional<EngineOrder> order = mPlanner.onReport(report("2", 9));
                order.ifPresent(mPlanner::orderFailed);
                sent += order.isPresent() ? 1 : 0;
            }
            assertThat(sent).as("one of seven slots").isBetween(9, 10);
        }
    }
}
