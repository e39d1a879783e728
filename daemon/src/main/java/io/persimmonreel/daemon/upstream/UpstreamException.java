package io.persimmonreel.daemon.upstream;

import io.persimmonreel.core.request.Step;

/** Thrown when a request to a replica fails. */
public final class UpstreamException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step mStep;
    private final String mReplicaId;
    private final UpstreamFault mFault;
    private final int mStatus;
    private final String mDetail;

    /**
     * Creates an exception without an HTTP status.
     *
     * @param step the step that failed
     * @param replica the replica's id
     * @param fault the kind of failure
     * @param message what went wrong, one short sentence
     */
    public UpstreamException(
            final Step step,
            final String replica,
            final UpstreamFault fault,
            final String message) {
        this(step, replica, fault, message, 0);
    }

    /**
     * Creates an exception.
     *
     * @param step the step that failed
     * @param replica the replica's id
     * @param fault the kind of failure
     * @param message what went wrong, one short sentence
     * @param status the HTTP status code of the response, 0 if there was none
     */
    public UpstreamException(
            final Step step,
            final String replica,
            final UpstreamFault fault,
            final String message,
            final int status) {
        super(step.label() + ": " + replica + ": " + message);
        mStep = step;
        mReplicaId = replica;
        mFault = fault;
        mStatus = status;
        mDetail = message;
    }

    /**
     * Returns the description of the failure, without step and replica.
     *
     * @return one short sentence
     */
    public String detail() {
        return mDetail;
    }

    /**
     * Returns the step that failed.
     *
     * @return the step
     */
    public Step step() {
        return mStep;
    }

    /**
     * Returns the replica at which the step failed.
     *
     * @return the replica's id
     */
    public String replica() {
        return mReplicaId;
    }

    /**
     * Returns the kind of failure.
     *
     * @return the kind
     */
    public UpstreamFault fault() {
        return mFault;
    }

    /**
     * Returns the HTTP status code of the replica's response.
     *
     * @return the status code, 0 if there was no response
     */
    public int status() {
        return mStatus;
    }
}
