package io.persimmonreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.admission.OverloadOrder.Arrangement;
import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OverloadOrderTest {
    private static final int CASES = 2_000;
    private static final int REQUESTS = 40;
    private static final double DEADLINE_MILLIS = 5_000;
    private static final double FIRST_MILLIS = 50;

    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final ServedShares mServed = new ServedShares();

    private static Candidate<String> candidate(
            final String name,
            final double punctualMillis,
            final double slotMillis,
            final int rank) {
        return Candidate.of(
                name,
                new TimeLeft(punctualMillis + FIRST_MILLIS, DEADLINE_MILLIS, DEADLINE_MILLIS),
                new RunForecast(FIRST_MILLIS, slotMillis),
                rank);
    }

    private static Candidate<String> candidate(
            final String name, final double punctualMillis, final double slotMillis) {
        return candidate(name, punctualMillis, slotMillis, 0);
    }

    /** Arranges requests for a number of slots of which the next becomes free at once. */
    private Arrangement<String> arrange(
            final double slots, final List<Candidate<String>> candidates) {
        return OverloadOrder.arrange(
                OverloadOrder.bySoonestStart(candidates), ahead -> ahead / slots, mServed, 0);
    }

    private List<Candidate<String>> anyCandidates() {
        final List<Candidate<String>> candidates = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            candidates.add(
                    candidate(
                            "r" + i,
                            mRandom.nextDouble() * 1_000 - 200,
                            10 + mRandom.nextDouble() * 990,
                            mRandom.nextInt(3)));
        }
        return candidates;
    }

    private static List<String> names(final List<Candidate<String>> candidates) {
        return candidates.stream().map(Candidate::request).toList();
    }

    /** Guards against another order than before below capacity. */
    @Nested
    class RequestsThatAllFit {
        @Test
        void areOrderedByTheSoonestStart() {
            for (int i = 0; i < CASES; i++) {
                final List<Candidate<String>> candidates = anyCandidates();
                final Arrangement<String> arrangement = arrange(1e9, candidates);
                assertThat(arrangement.requests())
                        .isEqualTo(names(OverloadOrder.bySoonestStart(candidates)));
                assertThat(arrangement.deferred()).isEmpty();
            }
        }

        /** It is not known then which requests can be on time. */
        @Test
        void includeAllIfNoReplicaIsKnown() {
            final List<Candidate<String>> candidates = anyCandidates();
            final Arrangement<String> arrangement =
                    OverloadOrder.arrange(
                            OverloadOrder.bySoonestStart(candidates), ahead -> 0, mServed, 0);
            assertThat(arrangement.deferred()).isEmpty();
        }
    }

    @Nested
    class RequestsThatDoNotFit {
        @Test
        void areAllKeptInTheOrder() {
            for (int i = 0; i < CASES; i++) {
                final List<Candidate<String>> candidates = anyCandidates();
                final List<String> arranged =
                        arrange(1 + mRandom.nextInt(40), candidates).requests();
                assertThat(arranged).hasSize(REQUESTS);
                assertThat(new HashSet<>(arranged)).isEqualTo(new HashSet<>(names(candidates)));
            }
        }

        /** Guards against an overload that makes nearly all requests just late. */
        @Test
        void leaveThoseBeforeThemOnTime() {
            for (int i = 0; i < CASES; i++) {
                final List<Candidate<String>> candidates = anyCandidates();
                final int slots = 1 + mRandom.nextInt(40);
                final Arrangement<String> arrangement = arrange(slots, candidates);
                final long late = candidates.stream().filter(c -> c.position().isLate()).count();
                final long onTime = REQUESTS - late - arrangement.deferred().size();
                double ahead = 0;
                for (final String name : arrangement.requests().subList(0, (int) onTime)) {
                    final Candidate<String> candidate =
                            candidates.get(Integer.parseInt(name.substring(1)));
                    assertThat(ahead / slots).isLessThanOrEqualTo(candidate.punctualMillis());
                    ahead += candidate.slotMillis();
                }
            }
        }

        @Test
        void areThoseThatTakeASlotLongest() {
            final List<Candidate<String>> candidates =
                    List.of(
                            candidate("large", 100, 900),
                            candidate("first", 120, 100),
                            candidate("second", 130, 100));
            assertThat(arrange(1, candidates).requests())
                    .containsExactly("first", "second", "large");
        }

        /** Predictions err, so a request that is nearly late is likely to be late in fact. */
        @Test
        void areThoseThatAreNearlyLateAmongEqualOnes() {
            final List<Candidate<String>> candidates =
                    List.of(
                            candidate("nearly late", 10, 200),
                            candidate("second", 150, 200),
                            candidate("third", 210, 200));
            assertThat(arrange(1, candidates).requests())
                    .containsExactly("second", "third", "nearly late");
        }

        @Test
        void comeBeforeLateOnes() {
            final List<Candidate<String>> candidates =
                    List.of(
                            candidate("late", -1, 10),
                            candidate("first", 20, 100),
                            candidate("second", 30, 110));
            assertThat(arrange(1, candidates).requests())
                    .containsExactly("second", "first", "late");
        }

        /** Guards against ranks that are served less often than lower ones of shorter responses. */
        @Test
        void areOfTheLowerRankIfTheHigherOneWasServedLessOften() {
            final List<Candidate<String>> candidates =
                    List.of(candidate("high", 100, 900, 0), candidate("low", 60, 100, 1));
            assertThat(arrange(1, candidates).requests()).containsExactly("low", "high");
            mServed.onArrived(0, 0);
            mServed.onArrived(1, 0);
            mServed.onSent(1, 0);
            assertThat(arrange(1, candidates).requests()).containsExactly("high", "low");
        }

        /** Guards against requests that make room for one that is late in any case. */
        @Test
        void doNotIncludeOthersIfTheyCouldNotBeOnTimeAsTheFirstOnes() {
            final List<Candidate<String>> candidates =
                    List.of(candidate("first", 500, 900, 0), candidate("second", 400, 10, 1));
            final Arrangement<String> arrangement =
                    OverloadOrder.arrange(
                            OverloadOrder.bySoonestStart(candidates),
                            ahead -> 450 + ahead,
                            mServed,
                            0);
            assertThat(arrangement.requests()).containsExactly("first", "second");
            assertThat(arrangement.deferred()).hasSize(1);
        }
    }

    /** Guards against streams that callers take up and that wait behind new ones. */
    @Nested
    class Continuations {
        @Test
        void comeBeforeOthersOfTheirRank() {
            final List<Candidate<String>> candidates =
                    List.of(
                            candidate("first", 100, 10, 1),
                            candidate("second", 200, 10, 1),
                            candidate("taken up", 300, 10, 1).asContinuation());
            assertThat(arrange(10, candidates).requests())
                    .containsExactly("taken up", "first", "second");
        }

        @Test
        void comeBeforeOthersOfTheirRankIfTheyAreLate() {
            final List<Candidate<String>> candidates =
                    List.of(
                            candidate("large", 100, 900),
                            candidate("small", 120, 100),
                            candidate("taken up", -10, 100).asContinuation());
            assertThat(arrange(1, candidates).requests())
                    .containsExactly("taken up", "small", "large");
        }

        @Test
        void leaveThePlacesOfOtherRanks() {
            for (int i = 0; i < CASES; i++) {
                final List<Candidate<String>> begun = anyCandidates();
                final List<Candidate<String>> mixed =
                        begun.stream()
                                .map(c -> mRandom.nextInt(4) == 0 ? c.asContinuation() : c)
                                .toList();
                final int slots = 1 + mRandom.nextInt(40);
                assertThat(ranks(arrange(slots, mixed), mixed))
                        .isEqualTo(ranks(arrange(slots, begun), begun));
            }
        }

        private List<Integer> ranks(
                final Arrangement<String> arrangement, final List<Candidate<String>> candidates) {
            return arrangement.requests().stream()
                    .map(name -> candidates.get(Integer.parseInt(name.substring(1))).rank())
                    .toList();
        }
    }
}
