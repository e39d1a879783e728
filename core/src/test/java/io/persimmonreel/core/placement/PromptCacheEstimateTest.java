package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize.PromptPart;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaRegistry;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptCacheEstimateTest {
    private static final long HOUR = 3_600_000_000_000L;
    private static final WorkSize WORK =
            new WorkSize(6_000, 300, 300, List.of(new PromptPart(1, 1, 6_000)));

    private final ReplicaRegistry mRegistry = new ReplicaRegistry();

    private Replica start(final long startedMillis) {
        mRegistry.replace(
                List.of(
                        new ReplicaEntry(
                                "r", "llm", "10.0.0.1", 80, "z", 10, false, startedMillis)));
        return mRegistry.find("r").orElseThrow();
    }

    @Nested
    class OfEnginesOfKnownMemory {
        private final PromptCacheEstimate mEstimate = new PromptCacheEstimate(name -> 10_000);
        private final Placement mPlacement = new Placement(mEstimate, 1);

        private Choice choose(final Replica replica) {
            return mPlacement.choose(WORK, List.of(replica), Set.of(), 15_000, 0).orElseThrow();
        }

        /** A restarted engine has an empty memory; requests must not wait for what it held. */
        @Test
        void endsWithARestartUnderTheSameId() {
            final Replica before = start(1);
            mEstimate.onPrefill(WORK, before, 0);
            assertThat(mEstimate.cachedTokens(WORK, start(1), 0)).isEqualTo(6_000);
            assertThat(mEstimate.cachedTokens(WORK, start(2), 0)).isZero();
        }

        /** With a constant probability, requests prefer replicas that never have their prompt. */
        @Test
        void expectsFewHitsAfterMisses() {
            final Replica replica = start(1);
            replica.onPrefillTime(20);
            final int expected = choose(replica).prefillTokens();
            for (int i = 0; i < 50; i++) {
                mEstimate.onFirstEvent(choose(replica), 6_000 * 0.02 + 10);
            }
            assertThat(expected).isLessThan(1_000);
            assertThat(choose(replica).prefillTokens()).isGreaterThan(5_500);
        }

        /** The ratio must recover when sessions begin to repeat. */
        @Test
        void expectsHitsAgainAfterHits() {
            final Replica replica = start(1);
            replica.onPrefillTime(20);
            for (int i = 0; i < 50; i++) {
                mEstimate.onFirstEvent(choose(replica), 6_000 * 0.02 + 10);
            }
            for (int i = 0; i < 100; i++) {
                mEstimate.onFirstEvent(choose(replica), 5);
            }
            assertThat(choose(replica).prefillTokens()).isLessThan(300);
        }

        /** A wait for a slot says nothing about the cache. */
        @Test
        void isNotMeasuredBehindOtherRequests() {
            final Replica replica = start(1);
            replica.onPrefillTime(20);
            final int expected = choose(replica).prefillTokens();
            for (int i = 0; i < 20; i++) {
                replica.onSent(0);
            }
            for (int i = 0; i < 50; i++) {
                mEstimate.onFirstEvent(choose(replica), 500);
            }
            assertThat(choose(replica).prefillTokens()).isEqualTo(expected);
        }
    }

    /** Without the memory in the configuration, nothing may change. */
    @Nested
    class OfEnginesOfUnknownMemory {
        private final PromptCacheEstimate mEstimate = new PromptCacheEstimate();

        @Test
        void isNeitherBoundedByTimeNorMeasured() {
            final Replica replica = start(1);
            mEstimate.onPrefill(WORK, replica, 0);
            assertThat(mEstimate.cachedTokens(WORK, replica, HOUR)).isEqualTo(6_000);
            final Choice choice =
                    new Placement(mEstimate, 1)
                            .choose(WORK, List.of(replica), Set.of(), 15_000, 0)
                            .orElseThrow();
            assertThat(choice.cached()).isEqualTo(CachedPrompt.NONE);
            assertThat(choice.prefillTokens()).isZero();
        }
    }
}
