package io.persimmonreel.core.claim;

import java.util.concurrent.TimeUnit;

/** Lists the time limits and bounds of the claim protocol. */
final class ClaimLimits {
    /** UUIDv7 keys and issued keys that are older than this are refused. */
    static final long KEY_MAX_AGE_MILLIS = TimeUnit.MINUTES.toMillis(15);

    /**
     * A call obtains its claim within this time or not at all. A grant from a member that was
     * paused for longer than this between its check and its reply is therefore ignored.
     */
    static final long CLAIM_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Claim requests without a reply are resent after this time; members handle them idempotently.
     */
    static final long RESEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * A second round is scheduled only within this time after the call began, so that half of the
     * window is left for it.
     */
    static final long RETRY_CUTOFF_NANOS = CLAIM_WINDOW_NANOS / 2;

    /** Bounds of the random delay before a second round, several timer ticks apart. */
    static final long RETRY_DELAY_MINIMUM_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    static final long RETRY_DELAY_MAXIMUM_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Continuous uptime counts only from this time after a start or an interruption. */
    static final long UPTIME_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A longer time between two timer ticks means that the process was paused. */
    static final long PAUSE_THRESHOLD_NANOS = TICK_INTERVAL_NANOS + TimeUnit.SECONDS.toNanos(1);

    /** An entry takes about 500 bytes, so a full table takes about 64 MiB. */
    static final int MAXIMUM_ENTRIES = 131_072;

    static final int MAXIMUM_ANSWER_BYTES = 64 * 1024;
    static final long MAXIMUM_ANSWER_STORE_BYTES = 32L * 1024 * 1024;
    static final long ANSWER_MAX_AGE_NANOS = TimeUnit.MINUTES.toNanos(15);
    static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private ClaimLimits() {}
}
