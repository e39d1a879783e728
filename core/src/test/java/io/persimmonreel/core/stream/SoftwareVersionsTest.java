package io.persimmonreel.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SoftwareVersionsTest {
    private static final String UPSTREAM = "llm";
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long STREAMS = 2_000;

    private final SoftwareVersions mVersions = new SoftwareVersions();

    private static ReplicaEntry entry(
            final String id, final String version, final long startedSeconds) {
        return new ReplicaEntry(
                id,
                UPSTREAM,
                "10.0.0.1",
                80,
                "z",
                4,
                false,
                TimeUnit.SECONDS.toMillis(startedSeconds),
                0,
                version);
    }

    private static void apply(
            final SoftwareVersions versions, final long seconds, final ReplicaEntry... entries) {
        Arrays.stream(entries).forEach(versions::onEntry);
        versions.onReplicas(List.of(entries), seconds * SECOND, TimeUnit.SECONDS.toMillis(seconds));
    }

    private static void observe(final SoftwareVersions versions, final long seconds) {
        versions.onSnapshot(seconds * SECOND, TimeUnit.SECONDS.toMillis(seconds));
    }

    private void inService(final long seconds, final ReplicaEntry... entries) {
        apply(mVersions, seconds, entries);
    }

    private void snapshot(final long seconds, final long wallSeconds) {
        mVersions.onSnapshot(seconds * SECOND, TimeUnit.SECONDS.toMillis(wallSeconds));
    }

    private Optional<String> began(final long stream, final long fromSeconds) {
        return mVersions.beganAt(UPSTREAM, Optional.of(stream), fromSeconds * SECOND);
    }

    private Optional<String> beganAtAll(final long fromSeconds) {
        return mVersions.beganAt(UPSTREAM, Optional.empty(), fromSeconds * SECOND);
    }

    @BeforeEach
    void observe() {
        snapshot(100, 100);
        inService(100, entry("a", "v1", 10));
    }

    @Nested
    class WithOneVersion {
        @Test
        void assignsNone() {
            assertThat(mVersions.assigned(UPSTREAM, 1)).isEmpty();
        }

        @Test
        void isKnownSinceTheObservationBegan() {
            assertThat(began(1, 99)).isEmpty();
            assertThat(began(1, 100)).contains("v1");
            assertThat(beganAtAll(100)).contains("v1");
        }

        @Test
        void isNotKnownWithoutReplicas() {
            assertThat(mVersions.beganAt("other", Optional.of(1L), 120 * SECOND)).isEmpty();
        }

        /** Guards against a version that comes and goes within one response of the directory. */
        @Test
        void isNotKnownAfterAnEntryThatWasRemovedInTheSameChange() {
            mVersions.onEntry(entry("b", "v2", 129));
            inService(130, entry("a", "v1", 10));
            assertThat(beganAtAll(125)).isEmpty();
            assertThat(beganAtAll(131)).contains("v1");
        }

        /** Guards against versions that are taken for gone while late daemons still use them. */
        @Test
        void isNotKnownUntilTheReplacedVersionIsOutOfTheWindow() {
            inService(130, entry("a", "v1", 10), entry("b", "v2", 129));
            inService(140, entry("b", "v2", 129));
            assertThat(beganAtAll(140)).isEmpty();
            assertThat(beganAtAll(141)).contains("v2");
        }
    }

    @Nested
    class WithTwoVersions {
        private final ReplicaEntry[] mEntries = {
            entry("a", "v1", 10), entry("b", "v1", 10), entry("c", "v2", 10), entry("d", "v2", 10)
        };

        @BeforeEach
        void serve() {
            inService(101, mEntries);
        }

        @Test
        void assignsStreamsInProportionToTheReplicas() {
            long first = 0;
            for (long stream = 0; stream < STREAMS; stream++) {
                first +=
                        mVersions.assigned(UPSTREAM, stream * stream).orElseThrow().equals("v1")
                                ? 1
                                : 0;
            }
            assertThat(first).isBetween(STREAMS * 4 / 10, STREAMS * 6 / 10);
        }

        @Test
        void tellsTheAssignedVersionLater() {
            for (long stream = 0; stream < STREAMS; stream++) {
                assertThat(began(stream, 110)).isEqualTo(mVersions.assigned(UPSTREAM, stream));
            }
        }

        @Test
        void isNotKnownWithoutAKey() {
            assertThat(beganAtAll(110)).isEmpty();
        }

        @Test
        void assignsNoReplicaThatDrains() {
            inService(120, mEntries[0], mEntries[1], mEntries[2].asDraining(), mEntries[3]);
            inService(
                    121,
                    mEntries[0],
                    mEntries[1],
                    mEntries[2].asDraining(),
                    mEntries[3].asDraining());
            assertThat(mVersions.assigned(UPSTREAM, 1)).isEmpty();
        }
    }

    @Nested
    class Observation {
        @Test
        void goesOnAfterAShortGap() {
            mVersions.onCurrent(130 * SECOND, 130_000);
            snapshot(133, 133);
            assertThat(beganAtAll(110)).contains("v1");
        }

        /** Guards against versions that were in service while the directory was not read. */
        @Test
        void beginsAgainAfterALongGap() {
            mVersions.onCurrent(130 * SECOND, 130_000);
            snapshot(134, 134);
            assertThat(beganAtAll(133)).isEmpty();
            assertThat(beganAtAll(134)).contains("v1");
        }

        /** Guards against a suspension of the host that the monotonic clock does not count. */
        @Test
        void beginsAgainAfterASuspension() {
            mVersions.onCurrent(130 * SECOND, 130_000);
            snapshot(131, 160);
            assertThat(beganAtAll(130)).isEmpty();
        }

        /** Guards against a replica that counts as ready while its entry was gone. */
        @Test
        void doesNotReachBackBeyondAReplicaThatReturned() {
            inService(102, entry("a", "v1", 10), entry("b", "v2", 10));
            mVersions.onPast(
                    List.of(new PastReplica("b", Optional.of(entry("b", "v2", 10)), 0, 90_000)),
                    80 * SECOND,
                    103 * SECOND,
                    103_000);
            for (long stream = 0; stream < STREAMS; stream++) {
                assertThat(began(stream, 85)).isNotEqualTo(Optional.of("v2"));
            }
        }

        /** Guards against the age of a replica that is taken for the age of its entry. */
        @Test
        void datesAnEntryThatCameLateToItsArrival() {
            inService(150, entry("a", "v1", 10), entry("b", "v2", 110));
            for (long stream = 0; stream < STREAMS; stream++) {
                assertThat(began(stream, 140)).isNotEqualTo(Optional.of("v2"));
            }
        }

        @Test
        void reachesBackAsFarAsTheHistoryOfTheDirectory() {
            mVersions.onPast(
                    List.of(
                            new PastReplica("b", Optional.of(entry("b", "v0", 5)), 85_000, 95_000),
                            new PastReplica("c", Optional.empty(), 85_000, 85_000)),
                    80 * SECOND,
                    101 * SECOND,
                    101_000);
            assertThat(beganAtAll(79)).isEmpty();
            assertThat(beganAtAll(82)).isEmpty();
            assertThat(beganAtAll(95)).isEmpty();
            assertThat(beganAtAll(96)).contains("v1");
        }
    }

    /**
     * Lets daemons that read the directory late begin streams during random releases, and a daemon
     * that knows the replicas of the last seconds only tell where they began.
     */
    @Nested
    class AnyRelease {
        private static final int REPLICAS = 8;
        private static final long LAG = 10;
        private static final long END = 60;

        private final List<ReplicaEntry[]> mStates = new ArrayList<>();

        private void release(final SplittableRandom random) {
            mStates.clear();
            final List<ReplicaEntry> current = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                current.add(entry("r" + i, "v1", 0));
            }
            for (int second = 0; second <= END; second++) {
                if (random.nextInt(4) == 0) {
                    current.remove(random.nextInt(current.size()));
                    current.add(entry("n" + second, "v" + (2 + second / 25), 1_000 + second));
                }
                mStates.add(current.toArray(new ReplicaEntry[0]));
            }
        }

        private SoftwareVersions view(final int fromSecond, final int toSecond) {
            final SoftwareVersions versions = new SoftwareVersions();
            observe(versions, 1_000 + fromSecond);
            for (int second = fromSecond; second <= toSecond; second++) {
                apply(versions, 1_000 + second, mStates.get(second));
            }
            return versions;
        }

        /** Guards against a guess: what is told must be where the stream began, however late. */
        @Test
        void isNeverToldWrong() {
            int known = 0;
            for (int seed = 0; seed < 200; seed++) {
                final SplittableRandom random = new SplittableRandom(seed);
                release(random);
                final int begun = 20 + random.nextInt(30);
                final int seen = Math.max(0, begun - random.nextInt((int) LAG));
                final SoftwareVersions placer = view(0, seen);
                final SoftwareVersions teller = view(Math.max(0, begun - 12), (int) END);
                for (int i = 0; i < 50; i++) {
                    final long stream = random.nextLong();
                    final String version =
                            placer.assigned(UPSTREAM, stream)
                                    .or(
                                            () ->
                                                    placer.beganAt(
                                                            UPSTREAM, Optional.empty(), seen(seen)))
                                    .orElseThrow();
                    final Optional<String> told =
                            teller.beganAt(
                                    UPSTREAM, Optional.of(stream), seen(begun) - LAG * SECOND);
                    assertThat(told.orElse(version)).as("seed %d", seed).isEqualTo(version);
                    known += told.isPresent() ? 1 : 0;
                }
            }
            assertThat(known).isPositive();
        }

        private long seen(final int second) {
            return (1_000 + second) * SECOND;
        }
    }
}
