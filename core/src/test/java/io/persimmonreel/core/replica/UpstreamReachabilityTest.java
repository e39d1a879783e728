package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamReachabilityTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ReplicaRegistry mReplicas = new ReplicaRegistry();
    private final List<String> mEvents = new ArrayList<>();
    private final UpstreamReachability mReachability =
            new UpstreamReachability(mReplicas, new Recorder());

    private final class Recorder implements UpstreamReachability.Listener {
        @Override
        public void onLost(final String upstream, final int unreachable, final int replicas) {
            mEvents.add("lost " + upstream + " " + unreachable + "/" + replicas);
        }

        @Override
        public void onRestored(final String upstream, final long nanos) {
            mEvents.add("restored " + upstream + " " + nanos / SECOND);
        }
    }

    @BeforeEach
    void addReplicas() {
        mReplicas.replace(
                List.of(
                        entry("a", "app", false),
                        entry("b", "app", false),
                        entry("c", "app", false),
                        entry("d", "app", true),
                        entry("e", "other", false)));
    }

    private static ReplicaEntry entry(
            final String id, final String upstream, final boolean draining) {
        return new ReplicaEntry(id, upstream, "10.0.0.1", 1, "zone", 4, draining, 5);
    }

    private void fail(final long nowNanos, final String... ids) {
        for (final String id : ids) {
            mReplicas.find(id).orElseThrow().health().onUnreachable(nowNanos);
            mReachability.onUnreachable();
        }
        mReachability.onTimer(nowNanos);
    }

    @Nested
    class MostReplicasUnreachable {
        @Test
        void isReportedOnceForTheUpstream() {
            fail(0, "a", "b");
            fail(SECOND, "c");
            assertThat(mEvents).containsExactly("lost app 2/3");
            assertThat(mReachability.isLost("app")).isTrue();
            assertThat(mReachability.isLost("other")).isFalse();
            assertThat(mReachability.unreachableCount(SECOND)).isEqualTo(3);
        }

        @Test
        void endsWithSuccesses() {
            fail(0, "a", "b");
            mReplicas.find("a").orElseThrow().health().onSuccess();
            mReachability.onTimer(2 * SECOND);
            assertThat(mEvents).containsExactly("lost app 2/3", "restored app 2");
            assertThat(mReachability.isLost("app")).isFalse();
        }

        @Test
        void endsWithoutFurtherFailures() {
            fail(0, "a", "b");
            mReachability.onTimer(11 * SECOND);
            assertThat(mEvents).containsExactly("lost app 2/3", "restored app 11");
        }

        @Test
        void endsWithTheUpstream() {
            fail(0, "a", "b");
            mReplicas.replace(List.of(entry("e", "other", false)));
            mReachability.onTimer(SECOND);
            assertThat(mEvents).containsExactly("lost app 2/3", "restored app 1");
        }
    }

    @Nested
    class FewReplicasUnreachable {
        @Test
        void areNotReported() {
            fail(0, "a", "d");
            assertThat(mEvents).isEmpty();
        }
    }
}
