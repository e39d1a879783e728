package io.persimmonreel.core.explain;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.request.Step;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DecisionRingTest {
    private final DecisionRing mRing = new DecisionRing();

    private static DecisionRecord record(final long millis, final String id, final String subject) {
        return new DecisionRecord(millis, id, Step.ROUTE, "chose", subject, "shortest wait.");
    }

    @Nested
    class Lookup {
        @Test
        void findsTheRecordsOfARequestInOrder() {
            mRing.add(record(1, "r1", "a"));
            mRing.add(record(2, "r2", "b"));
            mRing.add(record(3, "r1", "c"));
            assertThat(mRing.ofRequest("r1"))
                    .extracting(DecisionRecord::subject)
                    .containsExactly("a", "c");
            assertThat(mRing.ofRequest("r3")).isEmpty();
        }

        /** Guards against memory use that grows with the uptime. */
        @Test
        void forgetsTheOldestRecords() {
            IntStream.range(0, DecisionRing.CAPACITY + 10)
                    .forEach(i -> mRing.add(record(i, "r" + i, "s")));
            assertThat(mRing.ofRequest("r9")).isEmpty();
            assertThat(mRing.ofRequest("r10")).hasSize(1);
            assertThat(mRing.latest(Integer.MAX_VALUE)).hasSize(DecisionRing.CAPACITY);
        }

        /** Guards against losing records of concurrent writers. */
        @Test
        void findsAllRecordsOfConcurrentWriters() {
            IntStream.range(0, 8)
                    .parallel()
                    .forEach(
                            w ->
                                    IntStream.range(0, 5_000)
                                            .forEach(i -> mRing.add(record(i, "w" + w, "s"))));
            assertThat(mRing.added()).isEqualTo(40_000);
            IntStream.range(0, 8)
                    .forEach(
                            w ->
                                    assertThat(mRing.ofRequest("w" + w))
                                            .hasSize(5_000)
                                            .extracting(DecisionRecord::wallMillis)
                                            .isSorted());
        }
    }

    @Nested
    class Sentences {
        @Test
        void areOrderedOverDaemons() {
            final List<DecisionRecord> first =
                    List.of(record(1_000, "r", "a"), record(3_000, "r", "c"));
            final List<DecisionRecord> second = List.of(record(2_000, "r", "b"));
            assertThat(DecisionFormatter.sentences(Map.of("lahore-1", first, "karachi-1", second)))
                    .containsExactly(
                            "1970-01-01 00:00:01.000 lahore-1: route: chose a (shortest wait).",
                            "1970-01-01 00:00:02.000 karachi-1: route: chose b (shortest wait).",
                            "1970-01-01 00:00:03.000 lahore-1: route: chose c (shortest wait).");
        }

        /** Guards against an effect before its cause when a daemon's clock is set back. */
        @Test
        void keepTheOrderOfOneDaemon() {
            final List<DecisionRecord> list =
                    List.of(record(5_000, "r", "first"), record(1_000, "r", "second"));
            final List<String> sentences = DecisionFormatter.sentences(Map.of("d", list));
            assertThat(sentences.get(0)).contains("first");
            assertThat(sentences.get(1)).contains("second");
        }
    }
}
