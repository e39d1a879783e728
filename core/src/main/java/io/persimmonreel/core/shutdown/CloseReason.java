package io.persimmonreel.core.shutdown;

/** Tells why a daemon that is shutting down closes its listening socket. */
public enum CloseReason {
    /** No request and no connection was left. */
    IDLE("idle"),
    /** The time for requests in progress is over. */
    TIME_OVER("time over");

    private final String mLabel;

    CloseReason(final String label) {
        mLabel = label;
    }

    /**
     * Returns the name used in logs.
     *
     * @return the name
     */
    public String label() {
        return mLabel;
    }
}
