package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReplicaCrashDetectorTest {
    private static final long BREAK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long AFTER_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private final Replica mReplica =
            new Replica(new ReplicaEntry("r", "app", "127.0.0.1", 1, "z", 4, false, 1));
    private final List<Integer> mCrashSizes = new ArrayList<>();
    private boolean mHasOpenConnection;
    private boolean mHasOlderRequest;
    private final ReplicaCrashDetector<String> mDetector =
            new ReplicaCrashDetector<>(replica -> mHasOpenConnection);

    private void fireTimer() {
        fireTimer(AFTER_WINDOW_NANOS);
    }

    private void fireTimer(final long nowNanos) {
        mDetector.onTimer(
                (replica, before) -> mHasOlderRequest,
                nowNanos,
                (replica, requests, crashNanos) -> mCrashSizes.add(requests.size()));
    }

    /** A broken connection is no crash while an idle connection to the same replica is open. */
    @Test
    void reportsNoCrashWhileAConnectionIsOpen() {
        mHasOpenConnection = true;
        mDetector.onBroken(mReplica, "request", 1);
        fireTimer();
        assertThat(mCrashSizes).isEmpty();
    }

    /**
     * A request that was sent before the break and is still running shows that the replica's
     * process is alive.
     */
    @Test
    void reportsNoCrashWhileAnOlderRequestRuns() {
        mHasOlderRequest = true;
        mDetector.onBroken(mReplica, "request", 1);
        fireTimer();
        assertThat(mCrashSizes).isEmpty();
    }

    @Test
    void reportsACrashIfNothingIsLeft() {
        mDetector.onBroken(mReplica, "first", 1);
        mDetector.onBroken(mReplica, "second", 2);
        fireTimer();
        assertThat(mCrashSizes).containsExactly(2);
    }

    /** The same broken connections must be reported only once. */
    @Test
    void reportsEachCrashOnce() {
        mDetector.onBroken(mReplica, "request", 1);
        fireTimer();
        fireTimer();
        assertThat(mCrashSizes).hasSize(1);
    }

    /** A slow daemon reads the breaks of one crash one after the other. */
    @Test
    void reportsACrashWhoseBreaksAreReadSlowly() {
        mHasOlderRequest = true;
        for (int i = 0; i < 5; i++) {
            mDetector.onBroken(mReplica, "request " + i, i * BREAK_INTERVAL_NANOS);
            mHasOlderRequest = i < 4;
            fireTimer((i + 1) * BREAK_INTERVAL_NANOS - 1);
        }
        fireTimer(AFTER_WINDOW_NANOS);
        assertThat(mCrashSizes).containsExactly(5);
    }

    /** Requests that break now and then must not delay the report without end. */
    @Test
    void waitsNoLongerThanASecond() {
        for (int i = 0; i < 30; i++) {
            mDetector.onBroken(mReplica, "request " + i, i * BREAK_INTERVAL_NANOS);
            fireTimer((i + 1) * BREAK_INTERVAL_NANOS - 1);
        }
        assertThat(mCrashSizes).isNotEmpty();
    }
}
