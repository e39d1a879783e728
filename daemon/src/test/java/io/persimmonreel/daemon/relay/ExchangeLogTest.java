package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ExchangeLogTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(50);

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final EventLog mEventLog =
            new EventLog("n1", new SystemTimeSource(), new PrintStream(mOut));
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final ExchangeLog mLog = new ExchangeLog(mEventLog, mMetrics);
    private final Replica mReplica = replica("r1");

    private static Replica replica(final String id) {
        return new Replica(new ReplicaEntry(id, "app", "127.0.0.1", 1, "zone", 4, false, 1));
    }

    private UnrequestedResponse response(final UnrequestedKind kind) {
        return new UnrequestedResponse(
                kind,
                mReplica,
                7,
                3,
                "a2",
                "a1",
                200,
                ResponseFraming.CHUNKED,
                -1,
                true,
                TimeUnit.MILLISECONDS.toNanos(12));
    }

    private String[] lines() {
        mEventLog.close();
        return mOut.toString(StandardCharsets.UTF_8).split("\n");
    }

    private String metrics() throws IOException {
        return new String(mMetrics.write(), StandardCharsets.UTF_8);
    }

    @Test
    void aLineNamesConnectionIdsStatusFramingAndThePreviousExchange() {
        mLog.onUnrequested(response(UnrequestedKind.OTHER_ATTEMPT), NOW);
        assertThat(lines()[0])
                .contains(
                        "\"part\":\"replica\",\"event\":\"unrequested-response\"",
                        "\"kind\":\"other-attempt\",\"replica\":\"r1\",\"connection\":7,"
                                + "\"exchanges\":3,\"expected_id\":\"a2\",\"response_id\":\"a1\","
                                + "\"status\":200,\"framing\":\"chunked\",\"declared_bytes\":-1,"
                                + "\"of_previous\":true,\"previous_age_ms\":12");
    }

    @Test
    void linesAreLimitedByRateAndTheCountIsExact() throws IOException {
        for (int i = 0; i < 50; i++) {
            mLog.onUnrequested(response(UnrequestedKind.IDLE), NOW);
        }
        mLog.onUnrequested(response(UnrequestedKind.IDLE), NOW + TimeUnit.SECONDS.toNanos(1));
        final String[] lines = lines();
        assertThat(lines).hasSize(21);
        assertThat(lines[20]).contains("\"unlogged\":30");
        assertThat(metrics())
                .contains(
                        "persimmonreel_relay_unrequested_responses_total"
                                + "{kind=\"idle\",upstream=\"app\"} 51.0");
    }

    @Test
    void aReplicaIsWatchedForTenSecondsAfterAnUnrequestedResponse() {
        mLog.onUnrequested(response(UnrequestedKind.IDLE), NOW);
        assertThat(mLog.isWatched(mReplica, NOW + TimeUnit.MILLISECONDS.toNanos(9_999))).isTrue();
        assertThat(mLog.isWatched(mReplica, NOW + TimeUnit.SECONDS.toNanos(10))).isFalse();
        assertThat(mLog.isWatched(replica("r2"), NOW)).isFalse();
    }

    @Test
    void aReplicaIsNotWatchedAfterAnInterimResponse() {
        mLog.onUnrequested(response(UnrequestedKind.INTERIM), NOW);
        assertThat(mLog.isWatched(mReplica, NOW)).isFalse();
    }

    @Test
    void requestsAtAWatchedReplicaAreAllLogged() {
        for (int i = 0; i < 500; i++) {
            mLog.requestLine("answered", mReplica, NOW).write();
        }
        mLog.onUnrequested(response(UnrequestedKind.IDLE), NOW);
        for (int i = 0; i < 500; i++) {
            mLog.requestLine("answered", mReplica, NOW).put("i", i).write();
        }
        assertThat(lines()).filteredOn(line -> line.contains("\"i\":")).hasSize(500);
    }

    @Test
    void aLineOnAMismatchHasTheRecordsOfBothExchanges() {
        final UpstreamExchange first = new UpstreamExchange(7, 3, "a1", true, 0);
        first.onStatusForwarded(200);
        first.onForwarded(5);
        final UpstreamExchange last = new UpstreamExchange(9, 1, "a1", false, 0);
        last.onForwarded(6);
        last.onForwardedToEnd();
        ExchangeLog.putAll(mEventLog.event("request", "mismatch"), first, last).write();
        assertThat(lines()[0])
                .contains(
                        "\"connection\":9,\"exchange\":1,\"exchange_end\":\"open\"",
                        "\"expected_id\":\"a1\",\"genuine\":false,\"declared_bytes\":-1,"
                                + "\"whole\":false,\"caller_status\":200,\"forwarded_bytes\":6,"
                                + "\"forwarded_to_end\":true",
                        "\"first_connection\":7,\"first_exchange\":3,\"first_status\":0",
                        "\"first_end\":\"open\",\"first_received_bytes\":0,"
                                + "\"first_forwarded_bytes\":5");
    }
}
