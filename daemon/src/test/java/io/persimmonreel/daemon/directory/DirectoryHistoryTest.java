package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.stream.PastReplica;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DirectoryHistoryTest {
    private static final long NOW = 100_000;
    private static final Duration INTERVAL = Duration.ofMillis(1_000);

    private final DirectoryHistory mHistory = new DirectoryHistory(new TextFormat(), INTERVAL);

    /** Decodes entries of the form {@code PHASE SEQ BORN VERSION}. */
    private static final class TextFormat extends TestFormat {
        private static String[] words(final byte[] content) {
            return new String(content, StandardCharsets.UTF_8).split(" ");
        }

        @Override
        public RelayConfiguration readConfiguration(final String name, final byte[] content) {
            throw new AssertionError("there is no configuration");
        }

        @Override
        public ReplicaEntry readReplica(final String name, final byte[] content) {
            final String[] words = words(content);
            return new ReplicaEntry(
                    name,
                    "app",
                    "10.0.0.1",
                    80,
                    "z",
                    4,
                    words[0].equals("draining"),
                    Long.parseLong(words[2]),
                    0,
                    words[3]);
        }

        @Override
        public OptionalLong writeNumber(final String name, final byte[] content) {
            return OptionalLong.of(Long.parseLong(words(content)[1]));
        }
    }

    /** Returns the replicas as id, version and latest time at which they were ready. */
    private List<String> replicas(final String... pairs) {
        return mHistory.replicas(RestoreFixture.documents(pairs), NOW).stream()
                .map(DirectoryHistoryTest::text)
                .toList();
    }

    private static String text(final PastReplica replica) {
        return replica.id()
                + " "
                + replica.entry().map(ReplicaEntry::version).orElse("?")
                + " "
                + replica.leftMillis();
    }

    @Nested
    class LatestTime {
        @Test
        void followsFromTheNumberOfAWrite() {
            assertThat(replicas("r1", "draining 8 60000 v1")).contains("r1 v1 72000");
        }

        @Test
        void isThatOfAnyLaterWriteIfThatIsEarlier() {
            assertThat(replicas("r1", "draining 8 60000 v1", "r2", "ready 0 65000 v2"))
                    .contains("r1 v1 67000");
        }

        @Test
        void isNowWithoutALaterWrite() {
            assertThat(replicas("r2", "ready 0 65000 v2", "r1", null)).contains("r1 ? 100000");
        }

        @Test
        void isThatOfTheRemoval() {
            assertThat(
                            replicas(
                                    "r1", "ready 0 50000 v1",
                                    "r1", null,
                                    "r2", "ready 0 65000 v2"))
                    .contains("r1 v1 67000");
        }

        @Test
        void isNowForAReplicaThatIsReady() {
            assertThat(replicas("r1", "ready 0 50000 v1")).containsExactly("r1 v1 100000");
        }
    }

    @Nested
    class Replica {
        @Test
        void isUnknownIfItsEntryIsNotAmongTheChanges() {
            assertThat(replicas("r1", null, "r2", "ready 0 65000 v2")).contains("r1 ? 67000");
        }

        /** Guards against a replica that hides its version by a restart under its id. */
        @Test
        void isListedForEachOfItsStarts() {
            assertThat(replicas("r1", "ready 0 50000 v1", "r1", "ready 0 65000 v2"))
                    .containsExactly("r1 v1 67000", "r1 v2 100000");
        }
    }
}
