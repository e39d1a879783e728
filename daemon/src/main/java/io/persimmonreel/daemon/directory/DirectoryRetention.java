package io.persimmonreel.daemon.directory;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes what the directory keeps of past changes.
 *
 * @param time the time for which it keeps changes
 * @param writeInterval the time between two writes of a replica
 */
public record DirectoryRetention(Duration time, Duration writeInterval) {
    /** Checks that both times are given. */
    public DirectoryRetention {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(writeInterval, "writeInterval");
    }
}
