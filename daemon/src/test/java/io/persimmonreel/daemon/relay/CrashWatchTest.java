package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CrashWatchTest {
    private static final long LATER = TimeUnit.SECONDS.toNanos(1);
    private final Replica mReplica =
            new Replica(new ReplicaEntry("r", "app", "127.0.0.1", 1, "z", 4, false, 1));
    private final List<Integer> mCrashes = new ArrayList<>();
    private boolean mConnected;
    private boolean mOlderRuns;
    private final CrashWatch<String> mWatch = new CrashWatch<>(replica -> mConnected);

    private void pass() {
        mWatch.onTimer(
                (replica, before) -> mOlderRuns,
                LATER,
                (replica, attempts) -> mCrashes.add(attempts.size()));
    }

    /** A reset of one request beside a kept connection that is open says little of the replica. */
    @Test
    void isNoCrashWhileAConnectionIsOpen() {
        mConnected = true;
        mWatch.onBroken(mReplica, "attempt", 1);
        pass();
        assertThat(mCrashes).isEmpty();
    }

    /** An attempt that outlives the breaks shows that the process of the replica lives on. */
    @Test
    void isNoCrashWhileAnOlderAttemptRuns() {
        mOlderRuns = true;
        mWatch.onBroken(mReplica, "attempt", 1);
        pass();
        assertThat(mCrashes).isEmpty();
    }

    @Test
    void isACrashIfNothingIsLeft() {
        mWatch.onBroken(mReplica, "first", 1);
        mWatch.onBroken(mReplica, "second", 2);
        pass();
        assertThat(mCrashes).containsExactly(2);
    }

    /** The same breaks are reported once. */
    @Test
    void isReportedOnce() {
        mWatch.onBroken(mReplica, "attempt", 1);
        pass();
        pass();
        assertThat(mCrashes).hasSize(1);
    }
}
