package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize.PromptPart;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class PlacementTest {
    private static final int SLOTS = 10;
    private final PromptCacheEstimate mPromptCache = new PromptCacheEstimate();
    private final Placement mPlacement = new Placement(mPromptCache, 1);
    private final List<Replica> mReplicas = new ArrayList<>();

    PlacementTest() {
        for (int i = 0; i < 5; i++) {
            mReplicas.add(
                    new Replica(
                            new ReplicaEntry(
                                    "r" + i, "llm", "10.0.0." + i, 80, "z", SLOTS, false, 1)));
        }
    }

    private Replica choose(final WorkSize work, final double millisLeft) {
        return mPlacement.choose(work, mReplicas, Set.of(), millisLeft, 0).orElseThrow().replica();
    }

    private static WorkSize session(final long hash) {
        return new WorkSize(6_000, 300, 300, List.of(new PromptPart(hash, hash, 6_000)));
    }

    /** Tests sessions with several requests, whose prompt should be processed only once. */
    @Nested
    class Sessions {
        @Test
        void returnToTheReplicaThatCachedTheirPrompt() {
            for (long session = 1; session <= 50; session++) {
                final Replica first = choose(session(session), 15_000);
                mPromptCache.onPrefill(session(session), first, 0);
                assertThat(choose(session(session), 15_000)).isSameAs(first);
            }
        }

        /** Daemons agree on the preferred replica of a session without exchanging messages. */
        @Test
        void haveTheSamePreferredReplicaOnAllDaemons() {
            final Placement other = new Placement(new PromptCacheEstimate(), 99);
            int same = 0;
            for (long session = 1; session <= 50; session++) {
                final Replica here = choose(session(session), 15_000);
                final Replica there =
                        other.choose(session(session), mReplicas, Set.of(), 15_000, 0)
                                .orElseThrow()
                                .replica();
                same += here == there ? 1 : 0;
            }
            assertThat(same).isEqualTo(50);
        }

        /** Daemons that find the preferred replica busy agree on the next one. */
        @Test
        void haveTheSameSecondChoiceOnAllDaemons() {
            final Placement other = new Placement(new PromptCacheEstimate(), 99);
            for (long session = 1; session <= 20; session++) {
                final Replica preferred = choose(session(session), 15_000);
                final Set<String> busy = Set.of(preferred.entry().id());
                assertThat(
                                mPlacement
                                        .choose(session(session), mReplicas, busy, 15_000, 0)
                                        .orElseThrow()
                                        .replica())
                        .isSameAs(
                                other.choose(session(session), mReplicas, busy, 15_000, 0)
                                        .orElseThrow()
                                        .replica());
            }
        }

        /** A request does not queue at a busy replica only because its prompt is cached there. */
        @Test
        void avoidABusyPreferredReplica() {
            final Replica preferred = choose(session(7), 15_000);
            for (int i = 0; i < 2 * SLOTS; i++) {
                preferred.onSent(0);
            }
            assertThat(choose(session(7), 15_000)).isNotSameAs(preferred);
        }
    }

    /** Tests engines of different speed with outputs of very different length. */
    @Nested
    class EnginesOfDifferentSpeed {
        @Test
        void receiveLongOutputsOnlyIfFastEnough() {
            for (int i = 0; i < 4; i++) {
                mReplicas.get(i).onTokenTime(12);
            }
            mReplicas.get(4).onTokenTime(2.5);
            for (int i = 0; i < 6; i++) {
                mReplicas.get(4).onSent(0);
            }
            assertThat(choose(new WorkSize(100, 3_000, 300, List.of()), 15_000))
                    .isSameAs(mReplicas.get(4));
        }

        /** Short outputs leave the fast replica to requests that need it. */
        @Test
        void allReceiveShortOutputs() {
            mReplicas.get(4).onTokenTime(2.5);
            for (int i = 0; i < 4; i++) {
                mReplicas.get(i).onTokenTime(8);
            }
            final Map<Replica, Integer> chosen = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                final Replica replica = choose(new WorkSize(100, 20, 300, List.of()), 3_000);
                replica.onSent(100);
                chosen.merge(replica, 1, Integer::sum);
            }
            assertThat(chosen.values()).allMatch(count -> count <= 7);
            assertThat(chosen).hasSize(5);
        }

        /** Prefill of a long prompt on a slow replica delays the tokens of all streams there. */
        @Test
        void receiveNoLongPromptsIfSlowWithRunningStreams() {
            for (int i = 0; i < 5; i++) {
                mReplicas.get(i).onPrefillTime(i == 0 ? 45 : 15);
                for (int running = 0; running < (i == 0 ? 3 : 8); running++) {
                    mReplicas.get(i).onSent(0);
                }
            }
            for (int i = 0; i < 20; i++) {
                assertThat(choose(new WorkSize(6_600, 300, 300, List.of()), 15_000))
                        .isNotSameAs(mReplicas.get(0));
            }
        }

        /** Short requests are not sent to a replica that has a long prefill ahead. */
        @Test
        void receiveNoShortRequestsBehindLongPrompts() {
            mReplicas.forEach(replica -> replica.onPrefillTime(15));
            mReplicas.get(0).onSent(50_000);
            for (int i = 0; i < 20; i++) {
                assertThat(choose(new WorkSize(100, 20, 300, List.of()), 3_000))
                        .isNotSameAs(mReplicas.get(0));
            }
        }
    }

    @Nested
    class UnusableReplicas {
        @Test
        void areSkippedIfEjectedWhileOthersRemain() {
            for (int i = 0; i < 4; i++) {
                mReplicas.get(i).health().onUnreachable(0);
            }
            for (int i = 0; i < 3 * SLOTS; i++) {
                assertThat(choose(WorkSize.PLAIN, 1_000)).isSameAs(mReplicas.get(4));
                mReplicas.get(4).onSent(0);
            }
        }

        @Test
        void leaveNoChoiceIfAllAreExcluded() {
            assertThat(
                            mPlacement.choose(
                                    WorkSize.PLAIN,
                                    mReplicas,
                                    Set.of("r0", "r1", "r2", "r3", "r4"),
                                    1_000,
                                    0))
                    .isEmpty();
        }

        @Test
        void areSkippedIfDraining() {
            for (int i = 1; i < 5; i++) {
                final ReplicaEntry entry = mReplicas.get(i).entry();
                mReplicas
                        .get(i)
                        .update(
                                new ReplicaEntry(
                                        entry.id(), "llm", "10.0.0.1", 80, "z", SLOTS, true, 1));
            }
            assertThat(choose(WorkSize.PLAIN, 1_000)).isSameAs(mReplicas.get(0));
        }
    }

    @Nested
    class DividedSlots {
        private static final int CHOICES = 600;
        private static final int REPLICAS = 12;

        /**
         * All daemons list replicas in the same order. If the first replica were considered in
         * every choice, it would get the requests that all daemons send beyond their own slots.
         */
        @Test
        void borrowsWithoutFavouringAReplica() {
            final List<Replica> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                replicas.add(
                        new Replica(
                                new ReplicaEntry("s" + i, "u", "10.0.0.1", 1, "z", 4, false, 1)));
            }
            final List<String> others = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                others.add("daemon" + i);
            }
            final SlotShares shares =
                    SlotShares.divide("daemon0", others, 20, Map.of("u", replicas));
            replicas.stream()
                    .filter(replica -> shares.slots(replica) > 0)
                    .forEach(replica -> replica.onSent(0));
            mPlacement.onShares(shares);
            final Map<Replica, Integer> chosen = new HashMap<>();
            for (int i = 0; i < CHOICES; i++) {
                final Choice choice =
                        mPlacement
                                .choose(WorkSize.PLAIN, replicas, Set.of(), 10_000, 0)
                                .orElseThrow();
                chosen.merge(choice.replica(), 1, Integer::sum);
            }
            final int fair = CHOICES / REPLICAS;
            assertThat(chosen.values()).allSatisfy(n -> assertThat(n).isLessThan(3 * fair));
        }
    }

    @Nested
    class ReplicasThatWithdraw {
        private static final long LAST_RESORT_NANOS = 1_000;

        private Optional<Choice> choose(final long nowNanos) {
            return mPlacement.choose(
                    new WorkSize(100, 20, 300, List.of()), mReplicas, Set.of(), 3_000, nowNanos);
        }

        private void leaveExcept(final Replica open) {
            for (final Replica replica : mReplicas) {
                if (replica != open) {
                    replica.availability().onLeaving(LAST_RESORT_NANOS, 0);
                }
            }
        }

        @Test
        void areNotChosenWhileAnotherIsLeft() {
            final Replica open = mReplicas.get(3);
            leaveExcept(open);
            for (int i = 0; i < 50; i++) {
                open.onSent(0);
                assertThat(choose(i).orElseThrow().replica()).isSameAs(open);
            }
        }

        @Test
        void areUsedForATimeIfAllAreLeaving() {
            leaveExcept(null);
            assertThat(choose(LAST_RESORT_NANOS - 1)).isPresent();
            assertThat(choose(LAST_RESORT_NANOS)).isEmpty();
        }

        @Test
        void areNotUsedWhileAllPushBack() {
            mReplicas.forEach(replica -> replica.availability().onPushBack(500, 0));
            assertThat(choose(499)).isEmpty();
            assertThat(choose(500)).isPresent();
        }
    }

    /** Tests prompts whose prefill takes longer than the generation of the output. */
    @Nested
    class LongPrompts {
        private static final double TOKEN_MILLIS = 5;
        private static final double PREFILL_MICROS = 20;

        @Test
        void areReadOnceInThePredictedTotal() {
            mReplicas.forEach(replica -> replica.onTokenTime(TOKEN_MILLIS));
            mReplicas.forEach(replica -> replica.onPrefillTime(PREFILL_MICROS));
            final WorkSize work = new WorkSize(50_000, 100, 300, List.of());
            final Choice choice =
                    mPlacement.choose(work, mReplicas, Set.of(), 15_000, 0).orElseThrow();
            assertThat(choice.firstMillis()).isCloseTo(1_005, within(1e-6));
            assertThat(choice.totalMillis()).isCloseTo(1_500, within(1e-6));
        }

        /** Guards against waiting requests that are refused for the prompts of others. */
        @Test
        @Tag("known-red")
        void takeNoLongerAfterAWaitBecauseOthersAreReadNow() {
            mReplicas.forEach(replica -> replica.onPrefillTime(PREFILL_MICROS));
            final WorkSize work = new WorkSize(50_000, 100, 300, List.of());
            final RunForecast idle = mPlacement.fastestRun(work, mReplicas);
            mReplicas.forEach(replica -> replica.onSent(500_000));
            final Choice choice =
                    mPlacement.choose(work, mReplicas, Set.of(), 15_000, 0).orElseThrow();
            assertThat(choice.run()).isEqualTo(idle);
        }

        /** The end of the response is not earlier than its first event. */
        @Test
        void endAfterTheFirstEventIfItIsLaterThanMeasuredSpeedsSay() {
            mReplicas.forEach(replica -> replica.onTokenTime(TOKEN_MILLIS));
            mReplicas.forEach(replica -> replica.onPrefillTime(PREFILL_MICROS));
            mReplicas.forEach(replica -> replica.onPredictionError(10_000));
            final WorkSize work = new WorkSize(50_000, 10, 300, List.of());
            final Choice choice =
                    mPlacement.choose(work, mReplicas, Set.of(), 15_000, 0).orElseThrow();
            assertThat(choice.totalMillis()).isEqualTo(choice.firstMillis());
        }
    }

    /** Tests replicas whose availability zone is evacuated. */
    @Nested
    class EvacuatedReplicas {
        private final ReplicaRegistry mRegistry = new ReplicaRegistry();

        private Optional<Choice> choose() {
            return mPlacement.choose(session(1), mRegistry.ofUpstream("llm"), Set.of(), 15_000, 0);
        }

        private Replica add(final String id, final String zone) {
            final List<ReplicaEntry> entries =
                    new ArrayList<>(mRegistry.all().stream().map(Replica::entry).toList());
            entries.add(new ReplicaEntry(id, "llm", "10.0.0.1", 80, zone, SLOTS, false, 1));
            mRegistry.replace(entries);
            return mRegistry.find(id).orElseThrow();
        }

        @Test
        void areNotChosenWhileAnotherIsFull() {
            add("a", "z1");
            final Replica other = add("b", "z2");
            other.onPeerLoad(3 * SLOTS, 0);
            mRegistry.evacuate(Set.of("z1"));
            assertThat(choose().orElseThrow().replica()).isSameAs(other);
        }

        /** A leaving replica is a last resort, unless its zone is evacuated. */
        @Test
        void areNoLastResort() {
            add("a", "z1").availability().onLeaving(1_000, 0);
            assertThat(choose()).isPresent();
            mRegistry.evacuate(Set.of("z1"));
            assertThat(choose()).isEmpty();
        }

        /**
         * The slots of an evacuated zone are not free. If they were counted, daemons would borrow
         * slots of other daemons although the rest of the fleet is full.
         */
        @Test
        void doNotHideThatTheOthersAreFull() {
            add("a", "z1");
            final Replica other = add("b", "z2");
            other.onPeerLoad(9, 0);
            mRegistry.evacuate(Set.of("z1"));
            mPlacement.onShares(SlotShares.divide("d1", List.of("d0"), 2, mRegistry.byUpstream()));
            other.onSent(0);
            for (int i = 0; i < SLOTS; i++) {
                other.onSent(0);
            }
            assertThat(choose().orElseThrow().withheld()).isGreaterThan(SLOTS);
        }
    }
}
