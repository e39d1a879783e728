package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CrashWatchTest {
    private static final long LATER = TimeUnit.SECONDS.toNanos(1);
    private final Replica mReplica =
            new Replica(new ReplicaEntry("r", "app", "127.0.0.1", 1, "z", 4, false, 1));
    private final List<Integer> mCrashes = new ArrayList<>();
    private boolean mConnected;
    private final CrashWatch mWatch = new CrashWatch(replica -> mConnected);

    private final RelayConfiguration mConfiguration = RelayRig.configuration(1, 2, 0);

    /** Creates an attempt whose last send went to the replica. */
    private RelayCall call() {
        final RelayTask task =
                new RelayTask(
                        new CallerRequest(
                                new DefaultHttpRequest(
                                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/lookup/1"),
                                new NativeDialect()
                                        .readRequest(
                                                new DefaultHttpRequest(
                                                        HttpVersion.HTTP_1_1,
                                                        HttpMethod.GET,
                                                        "/lookup/1")),
                                null,
                                0),
                        mConfiguration.routes().routes().get(0),
                        "app",
                        null,
                        0,
                        WorkSize.PLAIN,
                        0,
                        LATER);
        final RelayCall call = new RelayCall(task, null);
        call.assume(new Sending(new Choice(mReplica, 0, 0, 0, 0, 0, 0), 0));
        return call;
    }

    private void pass(final RelayCall... active) {
        mWatch.onTimer(Set.of(active), LATER, (replica, calls) -> mCrashes.add(calls.size()));
    }

    /** A reset of one request beside a kept connection that is open says little of the replica. */
    @Test
    void isNoCrashWhileAConnectionIsOpen() {
        mConnected = true;
        mWatch.onBroken(call(), 1);
        pass();
        assertThat(mCrashes).isEmpty();
    }

    @Test
    void isACrashIfNothingIsLeft() {
        mWatch.onBroken(call(), 1);
        mWatch.onBroken(call(), 2);
        pass();
        assertThat(mCrashes).containsExactly(2);
    }

    /** The same breaks are reported once. */
    @Test
    void isReportedOnce() {
        mWatch.onBroken(call(), 1);
        pass();
        pass();
        assertThat(mCrashes).hasSize(1);
    }
}
