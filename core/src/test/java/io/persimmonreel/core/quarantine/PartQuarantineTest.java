package io.persimmonreel.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.PartState;
import io.persimmonreel.core.quarantine.PartQuarantine.Suspect;
import io.persimmonreel.core.time.ManualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PartQuarantineTest {
    private static final String SERVICE = "model";
    private static final long FIRST_PART = 1;
    private static final long CRASHING_PART = 2;
    private static final long OTHER_PART = 3;
    private static final List<Long> CRASHING = List.of(FIRST_PART, CRASHING_PART);
    private static final List<Long> SOUND = List.of(FIRST_PART, OTHER_PART);
    private static final Duration PREFILL = Duration.ofMillis(300);
    private static final Duration REFUSAL = Duration.ofSeconds(8);

    private final ManualTime mTime = new ManualTime();
    private final PartQuarantine mQuarantine = new PartQuarantine(0.5);

    private long now() {
        return mTime.monotonicNanos();
    }

    private PartDecision.Kind decide(final List<Long> parts) {
        return mQuarantine.decide(SERVICE, parts, now()).kind();
    }

    /** Sends a request that crashes its replica when its response is due. */
    private List<PartState> crash(final PartQuarantine quarantine, final List<Long> parts) {
        final long sent = now();
        mTime.advance(PREFILL);
        return quarantine.onCrash(
                SERVICE, List.of(new Suspect(parts, sent)), Set.of(), now(), now());
    }

    private List<PartState> begin(final List<Long> parts) {
        return mQuarantine.onBegun(SERVICE, parts, now());
    }

    @Nested
    class Decide {
        @Test
        void allowsEverythingWithoutEvidence() {
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.ALLOW);
            assertThat(decide(List.of())).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void refusesDifferentRequestsWithAPartThatCrashedTwoReplicas() {
            crash(mQuarantine, CRASHING);
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.ALLOW);
            begin(SOUND);
            crash(mQuarantine, List.of(FIRST_PART, CRASHING_PART, 7L));
            begin(SOUND);
            assertThat(decide(List.of(8L, CRASHING_PART))).isEqualTo(PartDecision.Kind.REFUSE);
            assertThat(mQuarantine.decide("other", CRASHING, now()).kind())
                    .isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void doesNotRefuseTheFirstPartThatSoundRequestsShare() {
            for (int i = 0; i < 5; i++) {
                crash(mQuarantine, CRASHING);
                begin(SOUND);
            }
            assertThat(decide(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void statesWhenARefusalEnds() {
            crash(mQuarantine, CRASHING);
            crash(mQuarantine, CRASHING);
            final long retryAfter = mQuarantine.decide(SERVICE, CRASHING, now()).retryAfterMillis();
            mTime.advance(Duration.ofMillis(retryAfter));
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.TRIAL);
        }
    }

    @Nested
    class OnCrash {
        /** An outage of a rack ends requests with the same part at several replicas. */
        @Test
        void countsAnOutageOfSeveralReplicasOnce() {
            final long sent = now();
            mTime.advance(PREFILL);
            for (int replica = 0; replica < 4; replica++) {
                mTime.advance(Duration.ofMillis(1));
                mQuarantine.onCrash(
                        SERVICE, List.of(new Suspect(SOUND, sent)), Set.of(), now(), now());
            }
            assertThat(decide(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void doesNotSuspectPartsOfResponsesThatAreArriving() {
            for (int i = 0; i < 3; i++) {
                final long sent = now();
                mTime.advance(PREFILL);
                mQuarantine.onCrash(
                        SERVICE,
                        List.of(new Suspect(CRASHING, sent)),
                        Set.of(FIRST_PART),
                        now(),
                        now());
            }
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
            assertThat(decide(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void doesNotSuspectOtherPartsOfACrashThatARefusedPartExplains() {
            crash(mQuarantine, List.of(CRASHING_PART));
            crash(mQuarantine, List.of(CRASHING_PART));
            for (int i = 0; i < 3; i++) {
                crash(mQuarantine, List.of(CRASHING_PART, OTHER_PART));
            }
            assertThat(decide(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void boundsTheEvidence() {
            final PartQuarantine small = new PartQuarantine(0, 8);
            crash(small, CRASHING);
            crash(small, CRASHING);
            for (long part = 100; part < 200; part++) {
                crash(small, List.of(part));
            }
            assertThat(small.states(now())).hasSizeLessThanOrEqualTo(8);
            assertThat(small.decide(SERVICE, CRASHING, now()).kind())
                    .isNotEqualTo(PartDecision.Kind.ALLOW);
        }
    }

    @Nested
    class Notices {
        private static final int MAXIMUM_STATES = 1_024;

        /** A notice that exceeds the maximum frame size would not be sent at all. */
        @Test
        void fitIntoAFrameThoughCallersSendManyParts() {
            for (int crash = 0; crash < 20; crash++) {
                final long sent = now();
                mTime.advance(PREFILL);
                final List<Suspect> suspects = new ArrayList<>();
                for (int i = 0; i < 64; i++) {
                    final long first = 10_000L * crash + 100L * i;
                    suspects.add(
                            new Suspect(
                                    LongStream.range(first, first + 63).boxed().toList(), sent));
                }
                assertThat(mQuarantine.onCrash(SERVICE, suspects, Set.of(), now(), now()))
                        .isNotEmpty()
                        .hasSizeLessThanOrEqualTo(MAXIMUM_STATES);
            }
            assertThat(mQuarantine.states(now())).hasSizeLessThanOrEqualTo(MAXIMUM_STATES);
        }

        @Test
        void nameRefusedPartsFirst() {
            crash(mQuarantine, List.of(CRASHING_PART));
            crash(mQuarantine, List.of(CRASHING_PART));
            for (long part = 1_000; part < 1_000 + 2 * MAXIMUM_STATES; part++) {
                crash(mQuarantine, List.of(part));
            }
            assertThat(mQuarantine.states(now()).get(0).part()).isEqualTo(CRASHING_PART);
        }
    }

    @Nested
    class Rivals {
        private static final long COMPANION = 4;
        private static final List<Long> WITH_COMPANION =
                List.of(FIRST_PART, COMPANION, CRASHING_PART);

        private void crashWithCompanion() {
            crash(mQuarantine, WITH_COMPANION);
            crash(mQuarantine, WITH_COMPANION);
            begin(SOUND);
        }

        /** Every crashing request so far had the companion, and so have sound ones. */
        @Test
        void areNotRefusedTogetherWithThePartThatCrashes() {
            crashWithCompanion();
            final List<Long> sound = List.of(FIRST_PART, COMPANION);
            assertThat(decide(WITH_COMPANION)).isEqualTo(PartDecision.Kind.REFUSE);
            assertThat(decide(sound)).isEqualTo(PartDecision.Kind.TRIAL);
            mQuarantine.onTrial(SERVICE, sound, now());
            assertThat(decide(sound)).isEqualTo(PartDecision.Kind.REFUSE);
            begin(sound);
            assertThat(decide(sound)).isEqualTo(PartDecision.Kind.ALLOW);
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
        }

        @Test
        void areNoLongerRivalsAfterACrashWithoutThem() {
            crashWithCompanion();
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.TRIAL);
            mQuarantine.onTrial(SERVICE, CRASHING, now());
            crash(mQuarantine, CRASHING);
            begin(SOUND);
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
            assertThat(decide(List.of(FIRST_PART, COMPANION)))
                    .isNotEqualTo(PartDecision.Kind.REFUSE);
        }

        @Test
        void areClearedAtPeers() {
            final PartQuarantine peer = new PartQuarantine(0);
            crashWithCompanion();
            peer.onPeerStates(mQuarantine.states(now()), now());
            peer.onPeerStates(begin(List.of(COMPANION)), now());
            assertThat(peer.decide(SERVICE, CRASHING, now()).kind())
                    .isEqualTo(PartDecision.Kind.REFUSE);
        }
    }

    @Nested
    class Trial {
        @Test
        void letsOneRequestThroughAndRefusesLongerAfterItsCrash() {
            crash(mQuarantine, CRASHING);
            crash(mQuarantine, CRASHING);
            mTime.advance(REFUSAL);
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.TRIAL);
            mQuarantine.onTrial(SERVICE, CRASHING, now());
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
            crash(mQuarantine, CRASHING);
            mTime.advance(REFUSAL);
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
        }

        @Test
        void endsAWrongVerdict() {
            crash(mQuarantine, SOUND);
            crash(mQuarantine, SOUND);
            mTime.advance(REFUSAL);
            mQuarantine.onTrial(SERVICE, SOUND, now());
            mTime.advance(PREFILL);
            begin(SOUND);
            assertThat(decide(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void isRepeatedIfItHadNoResult() {
            crash(mQuarantine, CRASHING);
            crash(mQuarantine, CRASHING);
            mTime.advance(REFUSAL);
            mQuarantine.onTrial(SERVICE, CRASHING, now());
            mTime.advance(REFUSAL);
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.TRIAL);
        }
    }

    @Nested
    class Peers {
        private final PartQuarantine mPeer = new PartQuarantine(0);

        private PartDecision.Kind decideAtPeer(final List<Long> parts) {
            return mPeer.decide(SERVICE, parts, now()).kind();
        }

        @Test
        void refuseAPartThatCrashedAReplicaAtEachOfTwoDaemons() {
            mPeer.onPeerStates(crash(mQuarantine, CRASHING), now());
            mTime.advance(PREFILL);
            mQuarantine.onPeerStates(crash(mPeer, CRASHING), now());
            assertThat(decide(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
            assertThat(decideAtPeer(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
        }

        /** Both daemons had a request on the replica. */
        @Test
        void countOneCrashOnce() {
            final long sent = now();
            mTime.advance(PREFILL);
            final List<Suspect> suspects = List.of(new Suspect(SOUND, sent));
            final List<PartState> states =
                    mQuarantine.onCrash(SERVICE, suspects, Set.of(), now(), now());
            mTime.advance(Duration.ofMillis(2));
            mPeer.onCrash(SERVICE, suspects, Set.of(), now(), now());
            mPeer.onPeerStates(states, now());
            assertThat(decideAtPeer(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void tryARefusedPartOnce() {
            crash(mQuarantine, CRASHING);
            mPeer.onPeerStates(crash(mQuarantine, CRASHING), now());
            mTime.advance(REFUSAL);
            mPeer.onPeerStates(mQuarantine.onTrial(SERVICE, CRASHING, now()), now());
            assertThat(decideAtPeer(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
        }

        @Test
        void endAVerdictWithTheResponseAtOneDaemon() {
            crash(mQuarantine, SOUND);
            mPeer.onPeerStates(crash(mQuarantine, SOUND), now());
            mTime.advance(PREFILL);
            mPeer.onPeerStates(begin(SOUND), now());
            assertThat(decideAtPeer(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void ignoreACrashThatIsReportedAfterALaterResponse() {
            crash(mQuarantine, SOUND);
            final List<PartState> late = crash(mQuarantine, SOUND);
            mTime.advance(PREFILL);
            mPeer.onPeerStates(begin(SOUND), now());
            mPeer.onPeerStates(
                    late.stream()
                            .map(
                                    state ->
                                            new PartState(
                                                    state.service(),
                                                    state.part(),
                                                    state.crashes(),
                                                    state.ageMillis() + PREFILL.toMillis(),
                                                    0,
                                                    state.rivals()))
                            .toList(),
                    now());
            assertThat(decideAtPeer(SOUND)).isEqualTo(PartDecision.Kind.ALLOW);
        }

        @Test
        void tellADaemonThatHasJustStarted() {
            crash(mQuarantine, CRASHING);
            crash(mQuarantine, CRASHING);
            mPeer.onPeerStates(mQuarantine.states(now()), now());
            assertThat(decideAtPeer(CRASHING)).isEqualTo(PartDecision.Kind.REFUSE);
        }

        @Test
        void cannotRefuseForLongerThanTheBoundsOrEndlessly() {
            mPeer.onPeerStates(
                    List.of(
                            new PartState(
                                    SERVICE,
                                    CRASHING_PART,
                                    Integer.MAX_VALUE,
                                    Long.MIN_VALUE,
                                    Long.MAX_VALUE,
                                    List.of())),
                    now());
            mTime.advance(Duration.ofMinutes(31));
            assertThat(decideAtPeer(CRASHING)).isEqualTo(PartDecision.Kind.TRIAL);
            mTime.advance(Duration.ofMinutes(31));
            mPeer.onTimer(now());
            assertThat(mPeer.isEmpty()).isTrue();
        }
    }
}
