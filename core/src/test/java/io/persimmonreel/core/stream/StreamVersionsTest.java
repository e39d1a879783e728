package io.persimmonreel.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Starts a daemon and asks it where streams began that another daemon began before. */
class StreamVersionsTest {
    private static final String UPSTREAM = "llm";
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long STREAMS = 500;

    /** The time at which the daemon starts, in seconds. */
    private static final long START = 200;

    /** The time since when the history of the directory is complete, in seconds. */
    private static final long HISTORY = 150;

    private final StreamVersions mVersions = new StreamVersions();

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

    private static PastReplica past(
            final ReplicaEntry entry, final long listedSeconds, final long leftSeconds) {
        return new PastReplica(
                entry.id(),
                Optional.of(entry),
                TimeUnit.SECONDS.toMillis(listedSeconds),
                TimeUnit.SECONDS.toMillis(leftSeconds));
    }

    private static SoftwareVersions view(final ReplicaEntry... entries) {
        final SoftwareVersions versions = new SoftwareVersions();
        apply(versions, 0, entries);
        return versions;
    }

    private static void apply(
            final SoftwareVersions versions, final long aheadSeconds, final ReplicaEntry... all) {
        final long wallMillis = TimeUnit.SECONDS.toMillis(START + aheadSeconds);
        versions.onSnapshot(START * SECOND, wallMillis);
        Arrays.stream(all).forEach(versions::onEntry);
        versions.onReplicas(List.of(all), START * SECOND, wallMillis);
        versions.onCurrent(START * SECOND, wallMillis);
    }

    /** Starts the daemon with a wall clock that is ahead of those of the replicas. */
    private void start(
            final long aheadSeconds, final List<PastReplica> history, final ReplicaEntry... all) {
        apply(mVersions.software(), aheadSeconds, all);
        mVersions
                .software()
                .onPast(
                        history,
                        HISTORY * SECOND,
                        START * SECOND,
                        TimeUnit.SECONDS.toMillis(START + aheadSeconds));
    }

    private Optional<String> told(final long stream, final long begunSeconds) {
        return mVersions.beganAt(
                UPSTREAM, Optional.of(stream), (START - begunSeconds) * SECOND, START * SECOND);
    }

    /** Checks that streams are told to have begun where a view assigned them, or are unknown. */
    private void assertNeverToldWrong(final SoftwareVersions begin, final long begunSeconds) {
        for (long stream = 0; stream < STREAMS; stream++) {
            final String began =
                    begin.assigned(UPSTREAM, stream)
                            .or(() -> begin.beganAt(UPSTREAM, Optional.empty(), START * SECOND))
                            .orElseThrow();
            assertThat(told(stream, begunSeconds).orElse(began))
                    .as("stream %d", stream)
                    .isEqualTo(began);
        }
    }

    @Nested
    class WithAWallClockAhead {
        /** Starts after the stream began, and was listed within two seconds. */
        private final ReplicaEntry mYoung = entry("young", "v2", 195);

        private final ReplicaEntry mOld = entry("old", "v1", 10);

        /** Leaves after the stream began; it ran for a short time only. */
        private final ReplicaEntry mGone = entry("gone", "v2", 190);

        private void startAfterAJoin(final long aheadSeconds) {
            start(aheadSeconds, List.of(past(mYoung, 197, START + aheadSeconds)), mOld, mYoung);
        }

        private void startAfterALeave(final long aheadSeconds) {
            start(aheadSeconds, List.of(past(mGone, 192, 197)), mOld);
        }

        @Test
        void isNeverToldWrongAfterAJoinWithAnErrorOfTwoSeconds() {
            startAfterAJoin(2);
            assertNeverToldWrong(view(mOld), 194);
        }

        @Test
        void isNeverToldWrongAfterAJoinWithAnErrorOfEightSeconds() {
            startAfterAJoin(8);
            assertNeverToldWrong(view(mOld), 194);
        }

        /** Guards against a young replica that a wrong wall clock makes look old. */
        @Tag("known-red")
        @Test
        void isNeverToldWrongAfterAJoinWithAnErrorOfFifteenSeconds() {
            startAfterAJoin(15);
            assertNeverToldWrong(view(mOld), 194);
        }

        @Test
        void isNeverToldWrongAfterALeaveWithAnErrorOfEightSeconds() {
            startAfterALeave(8);
            assertNeverToldWrong(view(mOld, mGone), 194);
        }

        /** Guards against a replica that a wrong wall clock makes look gone for long. */
        @Tag("known-red")
        @Test
        void isNeverToldWrongAfterALeaveWithAnErrorOfFifteenSeconds() {
            startAfterALeave(15);
            assertNeverToldWrong(view(mOld, mGone), 194);
        }

        @Test
        void isNeverToldWrongWithAWallClockBehind() {
            startAfterAJoin(-15);
            assertNeverToldWrong(view(mOld), 194);
        }
    }

    @Nested
    class WithTheSameId {
        private final ReplicaEntry mOther = entry("other", "v1", 10);

        @Test
        void isNeverToldWrongAfterARestartAtAnotherVersion() {
            final ReplicaEntry before = entry("same", "v1", 10);
            final ReplicaEntry after = entry("same", "v2", 195);
            start(0, List.of(past(before, 12, 195), past(after, 197, START)), mOther, after);
            assertNeverToldWrong(view(mOther, before), 190);
            assertNeverToldWrong(view(mOther, before), 194);
        }

        @Test
        void isNeverToldWrongIfTheStartIsTheSame() {
            final ReplicaEntry before = entry("same", "v1", 10);
            final ReplicaEntry after = entry("same", "v2", 10);
            start(0, List.of(past(before, 12, 195), past(after, START, START)), mOther, after);
            assertNeverToldWrong(view(mOther, before), 190);
            assertNeverToldWrong(view(mOther, before), 194);
        }
    }

    @Nested
    class WithAVersionThatIsNotAnnounced {
        /** Guards against a join of a stream whose replica announced no version. */
        @Test
        void isNeverToldAsThatOfAReplicaThatAnnouncesOne() {
            final ReplicaEntry unnamed = entry("unnamed", "", 10);
            final ReplicaEntry named = entry("named", "v2", 195);
            start(0, List.of(past(unnamed, 12, 195), past(named, 197, START)), named);
            assertNeverToldWrong(view(unnamed), 190);
            assertNeverToldWrong(view(unnamed, named), 195);
        }
    }
}
