package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.log.LineRateLimit;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Logs and counts the responses of replicas that belong to no request, and remembers for some time
 * which replicas sent them. Not thread safe.
 */
final class ExchangeLog implements UnrequestedResponseListener {
    /**
     * The time after an unrequested response for which all requests at its replica are logged, in
     * nanoseconds.
     */
    private static final long WATCH_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The maximum number of lines on unrequested responses in one second. */
    private static final int LINES_PER_SECOND = 20;

    /** The maximum number of lines on requests at watched replicas in one second. */
    private static final int WATCHED_LINES_PER_SECOND = 500;

    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLog mLog;
    private final RelayMetrics mMetrics;
    private final LineRateLimit mLineLimit = new LineRateLimit(LINES_PER_SECOND);
    private final LineRateLimit mWatchedLimit = new LineRateLimit(WATCHED_LINES_PER_SECOND);
    private final Map<Replica, Long> mWatchedSinceNanos = new HashMap<>();
    private long mUnloggedCount;

    ExchangeLog(final EventLog log, final RelayMetrics metrics) {
        mLog = log;
        mMetrics = metrics;
    }

    /** Counts every response, and logs as many as the limit allows. */
    @Override
    public void onUnrequested(final UnrequestedResponse response, final long nowNanos) {
        mMetrics.onUnrequested(response.replica().entry().upstream(), response.kind().label());
        if (response.kind() != UnrequestedKind.INTERIM) {
            mWatchedSinceNanos.values().removeIf(since -> nowNanos - since >= WATCH_NANOS);
            mWatchedSinceNanos.put(response.replica(), nowNanos);
        }
        if (mLineLimit.tryAcquire(nowNanos)) {
            write(response);
        } else {
            mUnloggedCount++;
        }
    }

    /**
     * Returns whether a replica has recently sent a response that belongs to no request; interim
     * responses don't count.
     */
    boolean isWatched(final Replica replica, final long nowNanos) {
        final Long since = mWatchedSinceNanos.get(replica);
        return since != null && nowNanos - since < WATCH_NANOS;
    }

    /**
     * Starts a line on a request. The limit of the rate of these lines is higher for watched
     * replicas.
     *
     * @param event what happened
     * @param replica the replica of the request, null if there is none yet
     * @param nowNanos the time in nanoseconds of the monotonic clock
     */
    EventLog.Line requestLine(final String event, final Replica replica, final long nowNanos) {
        return isWatched(replica, nowNanos) && mWatchedLimit.tryAcquire(nowNanos)
                ? mLog.event("request", event)
                : mLog.routine("request", event);
    }

    /** Adds the number of an exchange and of its connection to a line. */
    static EventLog.Line putNumbers(final EventLog.Line line, final UpstreamExchange exchange) {
        if (exchange != null) {
            line.put("connection", exchange.connection()).put("exchange", exchange.number());
            if (exchange.isIdRepeated()) {
                line.put("id_repeated", true);
            }
        }
        return line;
    }

    /** Adds the main fields of the record of an exchange to a line; null adds nothing. */
    static EventLog.Line put(final EventLog.Line line, final UpstreamExchange exchange) {
        if (exchange == null) {
            return line;
        }
        putNumbers(line, exchange).put("exchange_end", exchange.end().label());
        if (exchange.hasResponse()) {
            line.put("replica_status", exchange.status())
                    .put("framing", exchange.framing().label())
                    .put("received_bytes", exchange.bytesReceived())
                    .put("forwarded_whole", exchange.isForwardedWhole())
                    .put("head_us", exchange.headNanos() / NANOS_PER_MICRO);
        }
        return line;
    }

    /**
     * Adds all that is known of a response to a caller to a line.
     *
     * @param line the line
     * @param first the exchange that the response began with
     * @param last the last exchange, another one than the first if the stream was resumed
     */
    static EventLog.Line putAll(
            final EventLog.Line line, final UpstreamExchange first, final UpstreamExchange last) {
        put(line, last)
                .put("expected_id", last.attemptId())
                .put("response_id", last.responseAttemptId())
                .put("genuine", last.isGenuine())
                .put("declared_bytes", last.declaredLength())
                .put("whole", last.isWhole())
                .put("caller_status", first.forwardedStatus())
                .put("forwarded_bytes", last.bytesForwarded())
                .put("forwarded_to_end", last.isForwardedToEnd());
        if (first != last) {
            line.put("first_connection", first.connection())
                    .put("first_exchange", first.number())
                    .put("first_status", first.status())
                    .put("first_response_id", first.responseAttemptId())
                    .put("first_genuine", first.isGenuine())
                    .put("first_end", first.end().label())
                    .put("first_received_bytes", first.bytesReceived())
                    .put("first_forwarded_bytes", first.bytesForwarded());
        }
        return line;
    }

    private void write(final UnrequestedResponse response) {
        final EventLog.Line line =
                mLog.event("replica", "unrequested-response")
                        .put("kind", response.kind().label())
                        .put("replica", response.replica().entry().id())
                        .put("connection", response.connection())
                        .put("exchanges", response.exchanges())
                        .put("expected_id", response.expectedId())
                        .put("response_id", response.attemptId())
                        .put("status", response.status());
        if (response.framing() != null) {
            line.put("framing", response.framing().label())
                    .put("declared_bytes", response.declaredLength());
        }
        line.put("of_previous", response.ofPreviousExchange());
        if (response.previousAgeNanos() >= 0) {
            line.put("previous_age_ms", response.previousAgeNanos() / NANOS_PER_MILLI);
        }
        if (mUnloggedCount > 0) {
            line.put("unlogged", mUnloggedCount);
            mUnloggedCount = 0;
        }
        line.write();
    }
}
