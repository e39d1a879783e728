package io.persimmonreel.core.membership;

import java.time.Duration;

/**
 * Holds the heartbeat interval and the time limits of the failure detector.
 *
 * @param heartbeatIntervalNanos the interval between two heartbeats
 * @param suspectAfterNanos the silence after which a member is suspected
 * @param deadAfterNanos the silence after which a member counts as dead
 */
public record FailureDetectorTimes(
        long heartbeatIntervalNanos, long suspectAfterNanos, long deadAfterNanos) {
    /** The interval and limits that daemons use. */
    public static final FailureDetectorTimes STANDARD =
            new FailureDetectorTimes(
                    Duration.ofMillis(500).toNanos(),
                    Duration.ofMillis(2000).toNanos(),
                    Duration.ofMillis(5000).toNanos());
}
