package io.persimmonreel.daemon.cost;

import io.persimmonreel.daemon.operator.MetricSet;
import io.persimmonreel.daemon.peer.PeerTraffic;
import io.persimmonreel.daemon.time.TimerObserver;
import io.prometheus.metrics.core.metrics.Counter;

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
        mMessages.labelValues(type.getSimpleName(), SENT).inc(recipients);
        mBytes.labelValues(type.getSimpleName(), SENT).inc((long) bytes * recipients);
    }

    @Override
    public void onReceived(final Class<?> type, final int bytes, final long nanos) {
        mMessages.labelValues(type.getSimpleName(), RECEIVED).inc();
        mBytes.labelValues(type.getSimpleName(), RECEIVED).inc(bytes);
        mMessageSeconds.labelValues(type.getSimpleName()).inc(nanos / NANOS_PER_SECOND);
    }

    @Override
    public void onRun(final String timer, final long nanos) {
        mTimerRuns.labelValues(timer).inc();
        mTimerSeconds.labelValues(timer).inc(nanos / NANOS_PER_SECOND);
    }
}
