package io.persimmonreel.daemon.relay;

/** Lists the kinds of responses and bytes of replicas that belong to no request. */
enum UnrequestedKind {
    /** An interim response (1xx). */
    INTERIM("interim"),
    /** A response to another attempt, which came before the response to the current one. */
    OTHER_ATTEMPT("other-attempt"),
    /** A response that does not show to which attempt it belongs; the exchange fails. */
    UNATTRIBUTED("unattributed"),
    /** A part of a head that was joined with the head of the next response; the exchange fails. */
    JOINED_HEAD("joined-head"),
    /**
     * The head of a response inside the body of a response that was cut off; the exchange fails.
     */
    JOINED_BODY("joined-body"),
    /** A response whose status no response can have; the exchange fails. */
    INVALID_STATUS("invalid-status"),
    /** A response or other bytes on an idle connection, which is closed. */
    IDLE("idle"),
    /** A response or other bytes after the last response of a connection that is not kept. */
    AFTER_LAST("after-last");

    private final String mLabel;

    UnrequestedKind(final String label) {
        mLabel = label;
    }

    /** Returns the name in the log and in the metrics. */
    String label() {
        return mLabel;
    }
}
