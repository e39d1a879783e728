package io.persimmonreel.core.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * Identifies the crash of a replica.
 *
 * @param replica the replica's id
 * @param nanos the monotonic time at which this daemon assumes the crash, in nanoseconds
 */
record Crash(String replica, long nanos) {
    /** A replica takes longer than this to start again; daemons notice a crash within this time. */
    private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Returns whether two reports are about the same crash. */
    boolean isSame(final Crash other) {
        return replica.equals(other.replica) && Math.abs(nanos - other.nanos) < SAME_CRASH_NANOS;
    }
}
