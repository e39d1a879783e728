package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;

/**
 * Represents one dispatch of a request to a replica: counts it in the replica's load until it ends,
 * and records its times. Not thread safe.
 */
final class Dispatch {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Choice mChoice;
    private final long mSentNanos;
    private boolean mCountedAtReplica = true;
    private boolean mPrefillCountedAtReplica = true;
    private boolean mStalled;
    private long mFirstEventNanos;
    private long mLastHeardNanos;
    private long mLongestPauseNanos;
    private UpstreamExchange mExchange;

    /** Creates a dispatch and adds it to the replica's load. */
    Dispatch(final Choice choice, final long nowNanos) {
        mChoice = choice;
        mSentNanos = nowNanos;
        mLastHeardNanos = nowNanos;
        choice.replica().onSent(choice.prefillTokens());
    }

    Choice choice() {
        return mChoice;
    }

    Replica replica() {
        return mChoice.replica();
    }

    long sentNanos() {
        return mSentNanos;
    }

    /** Records that the request was handed to a connection. */
    void onWritten(final UpstreamExchange exchange) {
        mExchange = exchange;
    }

    /** Returns the record of the exchange, null before the request was handed to a connection. */
    UpstreamExchange exchange() {
        return mExchange;
    }

    boolean hasEvents() {
        return mFirstEventNanos != 0;
    }

    /** Records an event and returns true if it is the first one. */
    boolean onEvent(final long nowNanos) {
        if (mFirstEventNanos != 0) {
            mLongestPauseNanos = Math.max(mLongestPauseNanos, nowNanos - mLastHeardNanos);
            mLastHeardNanos = nowNanos;
            return false;
        }
        mLastHeardNanos = nowNanos;
        mFirstEventNanos = nowNanos;
        releasePrefill();
        return true;
    }

    /** Returns the time from the dispatch to the first event, in milliseconds. */
    double firstEventMillis() {
        return (mFirstEventNanos - mSentNanos) / NANOS_PER_MILLI;
    }

    /** Returns the longest time between two events, in milliseconds. */
    double longestPauseMillis() {
        return mLongestPauseNanos / NANOS_PER_MILLI;
    }

    /** Returns the time between the first and the last event, in milliseconds. */
    double streamMillis() {
        return mFirstEventNanos == 0 ? 0 : (mLastHeardNanos - mFirstEventNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the time since the last event, or since the dispatch if there was none, in
     * milliseconds.
     */
    double silentMillis(final long nowNanos) {
        return (nowNanos - mLastHeardNanos) / NANOS_PER_MILLI;
    }

    /** Marks the dispatch as stalled and returns true if it was not marked before. */
    boolean markStalled() {
        final boolean first = !mStalled;
        mStalled = true;
        return first;
    }

    /**
     * Reports the service time of a complete response to the replica, measured from the first event
     * if there was one.
     */
    void recordServiceTime(final long nowNanos) {
        final long from = mFirstEventNanos == 0 ? mSentNanos : mFirstEventNanos;
        replica().onServed(Math.max(1.0, (nowNanos - from) / NANOS_PER_MILLI));
    }

    /** Removes the dispatch from the replica's load; further calls do nothing. */
    void release() {
        if (mCountedAtReplica) {
            releasePrefill();
            mCountedAtReplica = false;
            replica().onEnded();
        }
    }

    private void releasePrefill() {
        if (mPrefillCountedAtReplica) {
            mPrefillCountedAtReplica = false;
            replica().onPrefilled(mChoice.prefillTokens());
        }
    }
}
