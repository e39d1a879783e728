package io.persimmonreel.core.quota;

/**
 * Describes a claim on units that are not at this daemon yet, for a request or for another daemon.
 * Not thread safe.
 */
public final class QuotaClaim {
    private final long mUnits;
    private final Kind mKind;
    private final Listener mListener;
    private long mDeadlineNanos;
    private long mNumber;
    private boolean mIsCancelled;

    /**
     * Describes what a claim is for.
     *
     * @param isPatient whether it waits however many claims are before it; otherwise it is refused
     *     if it is not granted soon
     * @param minimumLifeNanos the time for which the units must be usable, in nanoseconds, since
     *     they have to reach a peer; 0 for a request at this daemon
     */
    record Kind(boolean isPatient, long minimumLifeNanos) {}

    /** Receives the outcome of a claim, once. */
    public interface Listener {
        /**
         * Handles granted units.
         *
         * @param permit holds the units
         * @param nowNanos the current monotonic time in nanoseconds
         */
        void onGranted(QuotaPermit permit, long nowNanos);

        /**
         * Handles a refusal.
         *
         * @param refusal the cause, and when to try again
         */
        void onRefused(ClaimRefusal refusal);
    }

    QuotaClaim(final long units, final Kind kind, final Listener listener) {
        mUnits = units;
        mKind = kind;
        mListener = listener;
    }

    /** Withdraws the claim; its listener is not called any more. */
    public void cancel() {
        mIsCancelled = true;
    }

    long units() {
        return mUnits;
    }

    Kind kind() {
        return mKind;
    }

    /** Returns until when the claim waits, as monotonic time in nanoseconds. */
    long deadlineNanos() {
        return mDeadlineNanos;
    }

    void setDeadline(final long nanos) {
        mDeadlineNanos = nanos;
    }

    Listener listener() {
        return mListener;
    }

    boolean isCancelled() {
        return mIsCancelled;
    }

    /** Returns the number under which the units were requested from another daemon, 0 if none. */
    long number() {
        return mNumber;
    }

    void setNumber(final long number) {
        mNumber = number;
    }
}
