package io.persimmonreel.daemon.cost;

import io.persimmonreel.daemon.operator.MetricSet;
import io.persimmonreel.daemon.peer.PeerTraffic;
import io.persimmonreel.daemon.time.TimerObserver;
import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the messages between daemons and the time that messages and timers take, by their kind.
 *
 * <p>Labels are names of message types and timers, so their number is bounded. Thread safe.
 */
public final class ControlCost implements PeerTraffic, TimerObserver {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String SENT = "sent";
    private static final String RECEIVED = "received";

    private final Counter mMessages;
    private final Counter mBytes;
    private final Counter mMessageSeconds;
    private final Counter mTimerSeconds;
    private final Counter mTimerRuns;

    // To find a counter by its labels costs more than to count, so it is done once for each kind.
    private final Map<Class<?>, Traffic> mSent = new ConcurrentHashMap<>();
    private final Map<Class<?>, Received> mReceived = new ConcurrentHashMap<>();
    private final Map<String, Timer> mTimers = new ConcurrentHashMap<>();

    /** Holds the counters of the messages of a type in one direction. */
    private record Traffic(CounterDataPoint messages, CounterDataPoint bytes) {}

    /** Holds the counters of the received messages of a type. */
    private record Received(Traffic traffic, CounterDataPoint seconds) {}

    /** Holds the counters of a timer. */
    private record Timer(CounterDataPoint runs, CounterDataPoint seconds) {}

    /**
     * Registers the counters.
     *
     * @param metrics the metrics of the daemon
     */
    public ControlCost(final MetricSet metrics) {
        mMessages =
                metrics.counter(
                        "persimmonreel_relay_peer_messages_total",
                        "Messages between daemons, by type",
                        "type",
                        "direction");
        mBytes =
                metrics.counter(
                        "persimmonreel_relay_peer_bytes_total",
                        "Bytes of messages between daemons, by type",
                        "type",
                        "direction");
        mMessageSeconds =
                metrics.counter(
                        "persimmonreel_relay_peer_message_seconds_total",
                        "Time to decode and apply messages of other daemons, by type",
                        "type");
        mTimerSeconds =
                metrics.counter(
                        "persimmonreel_relay_timer_seconds_total",
                        "Time that timers take on the event loop, by timer",
                        "timer");
        mTimerRuns =
                metrics.counter("persimmonreel_relay_timer_runs_total", "Runs of timers", "timer");
    }

    @Override
    public void onSent(final Class<?> type, final int bytes, final int recipients) {
        final Traffic traffic = mSent.computeIfAbsent(type, key -> traffic(key, SENT));
        traffic.messages().inc(recipients);
        traffic.bytes().inc((long) bytes * recipients);
    }

    @Override
    public void onReceived(final Class<?> type, final int bytes, final long nanos) {
        final Received received =
                mReceived.computeIfAbsent(
                        type,
                        key ->
                                new Received(
                                        traffic(key, RECEIVED),
                                        mMessageSeconds.labelValues(key.getSimpleName())));
        received.traffic().messages().inc();
        received.traffic().bytes().inc(bytes);
        received.seconds().inc(nanos / NANOS_PER_SECOND);
    }

    @Override
    public void onRun(final String timer, final long nanos) {
        final Timer counters =
                mTimers.computeIfAbsent(
                        timer,
                        name ->
                                new Timer(
                                        mTimerRuns.labelValues(name),
                                        mTimerSeconds.labelValues(name)));
        counters.runs().inc();
        counters.seconds().inc(nanos / NANOS_PER_SECOND);
    }

    private Traffic traffic(final Class<?> type, final String direction) {
        return new Traffic(
                mMessages.labelValues(type.getSimpleName(), direction),
                mBytes.labelValues(type.getSimpleName(), direction));
    }
}
