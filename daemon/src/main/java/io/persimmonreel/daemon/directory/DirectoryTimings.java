package io.persimmonreel.daemon.directory;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the delays and timeouts of calls to the directory.
 *
 * <p>The sum of the waits on the longest path from a change to the state has to stay within the
 * time that a daemon has after its connections failed: the pause before a watch, the wait of that
 * watch on a connection that has become silent, the timeout of its response, the first retry delay
 * and the calls on a new connection.
 *
 * @param pause the time between two calls; changes accumulate meanwhile, since the directory
 *     charges for each call
 * @param watchWait the time that the directory may wait for a change
 * @param responseTimeout the time for a response, beyond the wait of a watch
 * @param firstRetryDelay the mean delay of the first retry; the delay is random, up to half longer
 *     or shorter
 * @param maximumRetryDelay the mean delay after which it grows no further
 */
public record DirectoryTimings(
        Duration pause,
        Duration watchWait,
        Duration responseTimeout,
        Duration firstRetryDelay,
        Duration maximumRetryDelay) {
    /** The pause, as a fraction of the time within which a change must be known. */
    private static final double PAUSE_SHARE = 0.4;

    /** The longest pause, as a fraction of the recovery time. */
    private static final double MAXIMUM_PAUSE_SHARE = 0.3;

    /** The response timeout, as a fraction of what pause and reconnection leave. */
    private static final double RESPONSE_SHARE = 0.4;

    /** The retry delay during an outage, as a fraction of the recovery time. */
    private static final double RETRY_SHARE = 0.3;

    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration LONGEST_RETRY_DELAY = Duration.ofMillis(1_000);

    /** The longest first retry delay, and the time for the calls on a new connection. */
    private static final Duration RECONNECTION = Duration.ofMillis(450);

    /** A longer wait saves few calls, and a longer timeout no response of a slow directory. */
    private static final Duration LONGEST_WATCH_WAIT = Duration.ofMillis(2_500);

    private static final Duration LONGEST_RESPONSE_TIMEOUT = Duration.ofMillis(1_000);

    /** A slow directory responds within 300 ms. */
    private static final Duration SHORTEST_RESPONSE_TIMEOUT = Duration.ofMillis(400);

    private static final Duration SHORTEST_WATCH_WAIT = Duration.ofMillis(100);

    /** Checks that no duration is null or negative. */
    public DirectoryTimings {
        requireNotNegative(pause, "pause");
        requireNotNegative(watchWait, "watchWait");
        requireNotNegative(responseTimeout, "responseTimeout");
        requireNotNegative(firstRetryDelay, "firstRetryDelay");
        requireNotNegative(maximumRetryDelay, "maximumRetryDelay");
    }

    /**
     * Divides the bounds on the age of the state among the waits.
     *
     * @param propagation the time within which a change must be known while connections work
     * @param recovery the time after a failure of connections within which all earlier changes must
     *     be known; with less than about two seconds the shortest timeouts exceed it
     * @return the timings
     */
    public static DirectoryTimings within(final Duration propagation, final Duration recovery) {
        final Duration pause =
                shorter(share(propagation, PAUSE_SHARE), share(recovery, MAXIMUM_PAUSE_SHARE));
        final Duration available = recovery.minus(pause).minus(RECONNECTION);
        final Duration responseTimeout =
                longer(
                        SHORTEST_RESPONSE_TIMEOUT,
                        shorter(LONGEST_RESPONSE_TIMEOUT, share(available, RESPONSE_SHARE)));
        final Duration watchWait =
                longer(
                        SHORTEST_WATCH_WAIT,
                        shorter(LONGEST_WATCH_WAIT, available.minus(responseTimeout)));
        return new DirectoryTimings(
                pause,
                watchWait,
                responseTimeout,
                FIRST_RETRY_DELAY,
                shorter(LONGEST_RETRY_DELAY, share(recovery, RETRY_SHARE)));
    }

    private static Duration share(final Duration duration, final double share) {
        return Duration.ofMillis((long) (duration.toMillis() * share));
    }

    private static Duration shorter(final Duration a, final Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static Duration longer(final Duration a, final Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    private static void requireNotNegative(final Duration duration, final String name) {
        if (Objects.requireNonNull(duration, name).isNegative()) {
            throw new IllegalArgumentException(name + " must not be negative");
        }
    }
}
