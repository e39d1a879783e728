package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Records one exchange with a replica, from the request to the end of the response and to what was
 * forwarded to the caller. It serves the log and {@link ExchangeCheck} only. Not thread safe.
 */
final class UpstreamExchange {
    private final long mConnection;
    private final int mNumber;
    private final String mAttemptId;
    private final boolean mIdRepeated;
    private final long mSentNanos;
    private int mStatus;
    private String mResponseAttemptId;
    private boolean mGenuine;
    private ResponseFraming mFraming;
    private long mDeclaredLength = -1;
    private long mHeadNanos;
    private long mBytesReceived;
    private End mEnd = End.OPEN;
    private boolean mWhole;
    private long mEndNanos;
    private boolean mForwarding;
    private boolean mForwardedWhole;
    private int mForwardedStatus;
    private long mBytesForwarded;
    private boolean mForwardedToEnd;

    /** Lists the ways in which an exchange ends. */
    enum End {
        /** It has not ended. */
        OPEN("open"),
        /** The framing of the response showed its end. */
        COMPLETE("complete"),
        /** The replica ended its side of the connection in order. */
        END_OF_INPUT("end-of-input"),
        /** The connection was lost. */
        RESET("reset"),
        /** The replica sent what is no response, or too much. */
        FAILURE("failure"),
        /** The relay ended it. */
        CANCELLED("cancelled");

        private final String mLabel;

        End(final String label) {
            mLabel = label;
        }

        /** Returns the name in the log. */
        String label() {
            return mLabel;
        }
    }

    /**
     * Creates the record of a request that is being sent.
     *
     * @param connection the number of the connection
     * @param number the number of the exchange on the connection, from 1
     * @param attemptId the attempt id of the request
     * @param idRepeated whether the previous exchange on the connection had the same attempt id
     * @param nowNanos the time in nanoseconds of the monotonic clock
     */
    UpstreamExchange(
            final long connection,
            final int number,
            final String attemptId,
            final boolean idRepeated,
            final long nowNanos) {
        mConnection = connection;
        mNumber = number;
        mAttemptId = attemptId;
        mIdRepeated = idRepeated;
        mSentNanos = nowNanos;
    }

    void onResponse(
            final HttpResponse response,
            final ReplicaHeaders replicaHeaders,
            final ResponseFraming framing,
            final long nowNanos) {
        mStatus = response.status().code();
        mResponseAttemptId = replicaHeaders.attemptId();
        mGenuine = replicaHeaders.genuine();
        mFraming = framing;
        mDeclaredLength = ResponseFraming.declaredLength(response);
        mHeadNanos = nowNanos;
    }

    void onReceived(final int bytes) {
        mBytesReceived += bytes;
    }

    /**
     * Records the end of the exchange; further calls do nothing.
     *
     * @param end how it ended
     * @param whole whether the response is whole
     * @param nowNanos the time in nanoseconds of the monotonic clock
     */
    void end(final End end, final boolean whole, final long nowNanos) {
        if (isOpen()) {
            mEnd = end;
            mWhole = whole;
            mEndNanos = nowNanos;
        }
    }

    /** Records that bytes of the response begin to be forwarded; further calls do nothing. */
    void onForwarding() {
        if (!mForwarding) {
            mForwarding = true;
            mForwardedWhole = mWhole;
        }
    }

    /** Records the status with which the response to the caller begins. */
    void onStatusForwarded(final int status) {
        onForwarding();
        mForwardedStatus = status;
    }

    /** Records bytes of the response that were handed to the caller's connection. */
    void onForwarded(final int bytes) {
        mBytesForwarded += bytes;
    }

    /** Records that the response to the caller ended as complete. */
    void onForwardedToEnd() {
        mForwardedToEnd = true;
    }

    /** Returns the number of the connection, which is unique in the process. */
    long connection() {
        return mConnection;
    }

    /** Returns the number of the exchange on its connection, from 1. */
    int number() {
        return mNumber;
    }

    /** Returns the attempt id of the request. */
    String attemptId() {
        return mAttemptId;
    }

    /** Returns whether the previous exchange on the connection had the same attempt id. */
    boolean isIdRepeated() {
        return mIdRepeated;
    }

    /** Returns whether the head of the response has arrived. */
    boolean hasResponse() {
        return mFraming != null;
    }

    /** Returns the status, 0 before the response. */
    int status() {
        return mStatus;
    }

    /** Returns the attempt id in the response, null if there is none. */
    String responseAttemptId() {
        return mResponseAttemptId;
    }

    /** Returns whether the response carries the proof that a replica created it. */
    boolean isGenuine() {
        return mGenuine;
    }

    /** Returns the framing of the response, null before the response. */
    ResponseFraming framing() {
        return mFraming;
    }

    /** Returns the declared length of the body in bytes, -1 if there is none. */
    long declaredLength() {
        return mDeclaredLength;
    }

    /** Returns the time from the request to the head of the response in nanoseconds. */
    long headNanos() {
        return mHeadNanos - mSentNanos;
    }

    /** Returns the size of the received body in bytes. */
    long bytesReceived() {
        return mBytesReceived;
    }

    /** Returns when the request was handed to the connection, in nanoseconds. */
    long sentNanos() {
        return mSentNanos;
    }

    /** Returns how the exchange ended. */
    End end() {
        return mEnd;
    }

    boolean isOpen() {
        return mEnd == End.OPEN;
    }

    /** Returns whether the exchange ended with a whole response. */
    boolean isWhole() {
        return mWhole;
    }

    /** Returns when the exchange ended, in nanoseconds of the monotonic clock. */
    long endNanos() {
        return mEndNanos;
    }

    /**
     * Returns whether the response was whole when its first byte was forwarded, or is whole if none
     * was.
     */
    boolean isForwardedWhole() {
        return mForwarding ? mForwardedWhole : mWhole;
    }

    /** Returns the status of the response to the caller, 0 if it did not begin with this one. */
    int forwardedStatus() {
        return mForwardedStatus;
    }

    /** Returns whether the response to the caller ended as complete with this one. */
    boolean isForwardedToEnd() {
        return mForwardedToEnd;
    }

    /** Returns the size of the forwarded body in bytes. */
    long bytesForwarded() {
        return mBytesForwarded;
    }
}
