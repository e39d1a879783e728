package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;

/** Accounts for one send of an attempt at its replica, and keeps its times. Not thread safe. */
final class Sending {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Choice mChoice;
    private final long mSentNanos;
    private boolean mCounted = true;
    private boolean mPrefillCounted = true;
    private boolean mStallNoted;
    private long mFirstNanos;
    private long mLastNanos;
    private long mLongestPauseNanos;

    /** Counts the send at its replica. */
    Sending(final Choice choice, final long nowNanos) {
        mChoice = choice;
        mSentNanos = nowNanos;
        mLastNanos = nowNanos;
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

    boolean hasEvents() {
        return mFirstNanos != 0;
    }

    /** Notes an event and returns true if it is the first one. */
    boolean onEvent(final long nowNanos) {
        if (mFirstNanos != 0) {
            mLongestPauseNanos = Math.max(mLongestPauseNanos, nowNanos - mLastNanos);
            mLastNanos = nowNanos;
            return false;
        }
        mLastNanos = nowNanos;
        mFirstNanos = nowNanos;
        releasePrefill();
        return true;
    }

    /** Returns the time from the send to the first event, in milliseconds. */
    double firstMillis() {
        return (mFirstNanos - mSentNanos) / NANOS_PER_MILLI;
    }

    /** Returns the longest time between two events, in milliseconds. */
    double longestPauseMillis() {
        return mLongestPauseNanos / NANOS_PER_MILLI;
    }

    /** Returns the time between the first and the last event, in milliseconds. */
    double streamMillis() {
        return mFirstNanos == 0 ? 0 : (mLastNanos - mFirstNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time since the replica was last heard of, in milliseconds. */
    double silentMillis(final long nowNanos) {
        return (nowNanos - mLastNanos) / NANOS_PER_MILLI;
    }

    /** Notes that the replica is silent, and returns true for the first time. */
    boolean noteStall() {
        final boolean first = !mStallNoted;
        mStallNoted = true;
        return first;
    }

    /** Takes the time of a whole answer as a sample of the replica's service time. */
    void onServed(final long nowNanos) {
        final long from = mFirstNanos == 0 ? mSentNanos : mFirstNanos;
        replica().onServed(Math.max(1.0, (nowNanos - from) / NANOS_PER_MILLI));
    }

    /** Ends the accounting; further calls do nothing. */
    void release() {
        if (mCounted) {
            releasePrefill();
            mCounted = false;
            replica().onEnded();
        }
    }

    private void releasePrefill() {
        if (mPrefillCounted) {
            mPrefillCounted = false;
            replica().onPrefilled(mChoice.prefillTokens());
        }
    }
}
