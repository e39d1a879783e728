package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.persimmonreel.core.replica.Replica;

/**
 * Records the exchanges of one connection to a replica and reports what belongs to none of them.
 * Not thread safe.
 */
final class ConnectionRecord {
    private final Replica mReplica;
    private final long mNumber;
    private final UnrequestedResponseListener mListener;
    private int mExchanges;
    private UpstreamExchange mExchange;
    private UpstreamExchange mPrevious;

    /**
     * Creates the record of a connection without exchanges.
     *
     * @param replica the replica
     * @param number the number of the connection
     * @param listener learns of responses that belong to no request
     */
    ConnectionRecord(
            final Replica replica, final long number, final UnrequestedResponseListener listener) {
        mReplica = replica;
        mNumber = number;
        mListener = listener;
    }

    /** Begins the record of an exchange. */
    void begin(final String attemptId, final long nowNanos) {
        mPrevious = mExchange;
        mExchanges++;
        final boolean repeated = mPrevious != null && mPrevious.attemptId().equals(attemptId);
        mExchange = new UpstreamExchange(mNumber, mExchanges, attemptId, repeated, nowNanos);
    }

    /** Returns the last exchange, null before the first one. */
    UpstreamExchange exchange() {
        return mExchange;
    }

    /** Returns whether the last exchange, if there was one, ended with a whole response. */
    boolean isBetweenExchanges() {
        return mExchange == null || mExchange.isWhole();
    }

    /**
     * Reports a response that belongs to no request.
     *
     * @param kind the kind
     * @param response the response; bytes that are none have a failed decoder result
     * @param attemptId the attempt id in the response, null if there is none
     * @param nowNanos the time in nanoseconds of the monotonic clock
     */
    void onUnrequested(
            final UnrequestedKind kind,
            final HttpResponse response,
            final String attemptId,
            final long nowNanos) {
        final boolean readable = !response.decoderResult().isFailure();
        report(
                kind,
                attemptId,
                readable ? response.status().code() : 0,
                readable ? ResponseFraming.of(response, false) : null,
                readable ? ResponseFraming.declaredLength(response) : -1,
                nowNanos);
    }

    /**
     * Reports bytes that form no response.
     *
     * @param kind the kind
     * @param nowNanos the time in nanoseconds of the monotonic clock
     */
    void onUnrequestedBytes(final UnrequestedKind kind, final long nowNanos) {
        report(kind, null, 0, null, -1, nowNanos);
    }

    private void report(
            final UnrequestedKind kind,
            final String attemptId,
            final int status,
            final ResponseFraming framing,
            final long declaredLength,
            final long nowNanos) {
        final UpstreamExchange current = mExchange != null && mExchange.isOpen() ? mExchange : null;
        final UpstreamExchange previous = current == null ? mExchange : mPrevious;
        mListener.onUnrequested(
                new UnrequestedResponse(
                        kind,
                        mReplica,
                        mNumber,
                        mExchanges,
                        current == null ? null : current.attemptId(),
                        attemptId,
                        status,
                        framing,
                        declaredLength,
                        previous != null && previous.attemptId().equals(attemptId),
                        previous == null ? -1 : nowNanos - previous.endNanos()),
                nowNanos);
    }
}
