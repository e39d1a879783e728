package io.persimmonreel.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.quarantine.QuarantineDecision.Kind;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final long NOW = 5L;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Fingerprint CRASHING = fingerprint("poison", 1);
    private static final Fingerprint HARMLESS = fingerprint("harmless", 2);

    private final Quarantine mQuarantine = new Quarantine(100);

    private static Fingerprint fingerprint(final String word, final long seed) {
        return Fingerprint.of("s", text(word, seed, 300).getBytes(StandardCharsets.UTF_8));
    }

    private static String text(final String word, final long seed, final int words) {
        final Random random = new Random(seed);
        final StringBuilder text = new StringBuilder(word);
        for (int i = 0; i < words; i++) {
            text.append(' ').append(Integer.toString(random.nextInt(1 << 24), 36));
        }
        return text.toString();
    }

    private Kind kindOf(final Fingerprint fingerprint) {
        return mQuarantine.decision(fingerprint, NOW).kind();
    }

    @Nested
    class Evidence {
        /** Guards against a third crash by the same content (promise P9). */
        @Test
        void fromTwoReplicasQuarantinesOnlyTheCrashingContent() {
            mQuarantine.onCrash("r1", List.of(CRASHING, HARMLESS), NOW);
            final QuarantineDecision repeat = mQuarantine.decision(CRASHING, NOW);
            assertThat(repeat.kind()).isEqualTo(Kind.ISOLATED);
            assertThat(repeat.excludedReplicas()).contains("r1");
            mQuarantine.onDispatched(CRASHING, "r2");
            assertThat(mQuarantine.decision(HARMLESS, NOW).excludedReplicas()).contains("r2");
            mQuarantine.onDispatched(HARMLESS, "r3");
            mQuarantine.onCompleted(HARMLESS, "r3", true, NOW);
            mQuarantine.onCrash("r2", List.of(CRASHING), NOW);
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.QUARANTINED);
            assertThat(kindOf(HARMLESS)).isEqualTo(Kind.NORMAL);
        }

        /**
         * Guards against quarantine of a content because one engine crashes on its own (hazard 30).
         */
        @Test
        void fromTwoCrashesOfOneReplicaIsNotEnough() {
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW);
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW);
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.ISOLATED);
        }

        /** Guards against quarantine if two suspects ran on the second replica (hazard 28). */
        @Test
        void againstTwoSuspectsOnOneReplicaQuarantinesNeither() {
            mQuarantine.onCrash("r1", List.of(CRASHING, HARMLESS), NOW);
            mQuarantine.onCrash("r2", List.of(CRASHING, HARMLESS), NOW);
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.ISOLATED);
            assertThat(kindOf(HARMLESS)).isEqualTo(Kind.ISOLATED);
        }

        @Test
        void againstTwoSuspectsAtEachCrashQuarantinesBothAfterThreeOutages() {
            for (int i = 0; i < 3; i++) {
                assertThat(kindOf(CRASHING)).isNotEqualTo(Kind.QUARANTINED);
                mQuarantine.onCrash("r" + i, List.of(CRASHING, HARMLESS), NOW + i * SECOND);
            }
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.QUARANTINED);
            assertThat(kindOf(HARMLESS)).isEqualTo(Kind.QUARANTINED);
        }

        @Test
        void fromThreeCrashesOfOneReplicaQuarantines() {
            for (int i = 0; i < 3; i++) {
                assertThat(kindOf(CRASHING)).isNotEqualTo(Kind.QUARANTINED);
                mQuarantine.onCrash("r1", List.of(CRASHING), NOW + i * 4 * SECOND);
            }
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.QUARANTINED);
        }

        /** Guards against blame for an outage of several replicas. */
        @Test
        void fromReplicasThatCrashTogetherQuarantinesNeitherOfTwoSuspects() {
            for (int i = 0; i < 5; i++) {
                mQuarantine.onCrash("r" + i, List.of(CRASHING, HARMLESS), NOW + i * SECOND / 50);
            }
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.ISOLATED);
        }

        @Test
        void fromOutagesBeforeACompleteResponseDoesNotCount() {
            for (int i = 0; i < 6; i++) {
                mQuarantine.onCrash("r1", List.of(CRASHING), NOW + i * 4 * SECOND);
                mQuarantine.onCompleted(CRASHING, "r2", true, NOW + i * 4 * SECOND + 1);
            }
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.NORMAL);
        }

        /** Guards against evidence that is never removed. */
        @Test
        void expiresAfterThirtyMinutes() {
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW);
            mQuarantine.onCrash("r2", List.of(CRASHING), NOW);
            mQuarantine.onTimer(NOW + TimeUnit.MINUTES.toNanos(31));
            assertThat(mQuarantine.isEmpty()).isTrue();
        }

        /** Guards against replicas that stay excluded after their suspects were cleared. */
        @Test
        void ofClearedSuspectsExcludesNoReplica() {
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW);
            mQuarantine.onDispatched(CRASHING, "r2");
            mQuarantine.onDispatched(CRASHING, "r3");
            mQuarantine.onCompleted(CRASHING, "r2", true, NOW);
            mQuarantine.onCompleted(CRASHING, "r3", true, NOW);
            mQuarantine.onCrash("r1", List.of(HARMLESS), NOW);
            assertThat(mQuarantine.decision(HARMLESS, NOW).excludedReplicas())
                    .containsExactly("r1");
        }

        /** Guards against unbounded memory; evidence on quarantined contents is kept longest. */
        @Test
        void isBounded() {
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW);
            mQuarantine.onCrash("r2", List.of(CRASHING), NOW);
            for (int i = 0; i < 500; i++) {
                mQuarantine.onCrash("r3", List.of(fingerprint("other", 10L + i)), NOW);
            }
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.QUARANTINED);
            assertThat(kindOf(fingerprint("other", 10L))).isEqualTo(Kind.NORMAL);
            assertThat(kindOf(fingerprint("other", 509L))).isEqualTo(Kind.ISOLATED);
        }
    }

    @Nested
    class Similarity {
        /**
         * Guards against a crashing content that is let through with one word changed (hazard 29).
         */
        @Test
        void treatsSlightlyChangedContentAsTheSame() {
            int same = 0;
            for (int seed = 0; seed < 100; seed++) {
                final String text = text("poison", seed, 300);
                final Fingerprint changed =
                        Fingerprint.of("s", (text + " again").getBytes(StandardCharsets.UTF_8));
                same += fingerprint("poison", seed).isSameContent(changed) ? 1 : 0;
            }
            assertThat(same).isGreaterThan(95);
        }

        /** Guards against quarantine of unrelated contents. */
        @Test
        void distinguishesUnrelatedContents() {
            for (int seed = 0; seed < 100; seed++) {
                assertThat(fingerprint("a", seed).isSameContent(fingerprint("b", seed + 1000L)))
                        .isFalse();
            }
        }
    }

    @Nested
    class Notices {
        /** Guards against a third crash by the same content through another daemon (hazard 29). */
        @Test
        void carryEvidenceToOtherDaemons() {
            final Quarantine other = new Quarantine(100);
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW).forEach(n -> other.onNotice(n, NOW));
            assertThat(other.decision(CRASHING, NOW).excludedReplicas()).containsExactly("r1");
            final List<QuarantineNotice> second = other.onCrash("r2", List.of(CRASHING), NOW);
            second.forEach(notice -> mQuarantine.onNotice(notice, NOW));
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.QUARANTINED);
        }

        @Test
        void aboutCrashesSeenByDifferentDaemonsAddUp() {
            final Quarantine other = new Quarantine(100);
            final List<Fingerprint> both = List.of(CRASHING, HARMLESS);
            mQuarantine.onCrash("r0", both, NOW).forEach(n -> other.onNotice(n, NOW));
            other.onCrash("r1", both, NOW + SECOND)
                    .forEach(n -> mQuarantine.onNotice(n, NOW + SECOND));
            mQuarantine
                    .onCrash("r2", both, NOW + 2 * SECOND)
                    .forEach(n -> other.onNotice(n, NOW + 2 * SECOND));
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.QUARANTINED);
            assertThat(other.decision(CRASHING, NOW).kind()).isEqualTo(Kind.QUARANTINED);
        }

        /** Guards against one crash that several daemons report counting several times. */
        @Test
        void aboutOneCrashCountOnce() {
            for (int i = 0; i < 4; i++) {
                final Quarantine other = new Quarantine(100);
                final long time = NOW + i * SECOND / 5;
                other.onCrash("r1", List.of(CRASHING), time)
                        .forEach(n -> mQuarantine.onNotice(n, time));
            }
            assertThat(kindOf(CRASHING)).isEqualTo(Kind.ISOLATED);
        }

        @Test
        void thatClearASuspectLateKeepTheEvidenceOfLaterCrashes() {
            final Quarantine other = new Quarantine(100);
            mQuarantine
                    .onCrash("r1", List.of(CRASHING, HARMLESS), NOW)
                    .forEach(n -> other.onNotice(n, NOW));
            final List<QuarantineNotice> late = other.onCompleted(CRASHING, "r2", true, NOW);
            mQuarantine.onCrash("r3", List.of(CRASHING, HARMLESS), NOW + SECOND);
            late.forEach(n -> mQuarantine.onNotice(n, NOW + 2 * SECOND));
            assertThat(mQuarantine.decision(CRASHING, NOW).excludedReplicas())
                    .containsExactly("r3");
        }

        @Test
        void giveADaemonThatStartedLaterAllVerdictsAndEvidence() {
            mQuarantine.onCrash("r1", List.of(CRASHING, HARMLESS), NOW);
            mQuarantine.onCrash("r2", List.of(CRASHING), NOW + SECOND);
            final Quarantine started = new Quarantine(100);
            mQuarantine
                    .notices(100, NOW + 5 * SECOND)
                    .forEach(n -> started.onNotice(n, NOW + 5 * SECOND));
            assertThat(started.decision(CRASHING, NOW).kind()).isEqualTo(Kind.QUARANTINED);
            assertThat(started.decision(HARMLESS, NOW).excludedReplicas()).containsExactly("r1");
        }

        @Test
        void thatReportNothingNewAreNotForwarded() {
            final Quarantine other = new Quarantine(100);
            final List<QuarantineNotice> notices =
                    mQuarantine.onCrash("r1", List.of(CRASHING), NOW);
            assertThat(notices).allMatch(n -> other.onNotice(n, NOW));
            assertThat(notices).noneMatch(n -> other.onNotice(n, NOW));
        }

        @Test
        void clearSuspectsOnOtherDaemons() {
            final Quarantine other = new Quarantine(100);
            mQuarantine.onCrash("r1", List.of(CRASHING), NOW).forEach(n -> other.onNotice(n, NOW));
            other.onCompleted(CRASHING, "r2", true, NOW).forEach(n -> mQuarantine.onNotice(n, NOW));
            assertThat(mQuarantine.isEmpty()).isTrue();
        }
    }
}
