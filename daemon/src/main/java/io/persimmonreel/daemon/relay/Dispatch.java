package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;

/**
 * Represents one dispatch of a request to a replica: counts it in the replica's load until it ends,
 * and records its times. Not thread safe.
 */
final class Dispatch {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    /**
     * The minimum prompt size for measuring the prefill speed; the time of shorter prompts is
     * mostly fixed cost.
     */
    private static final int LONG_PROMPT_TOKENS = 1_500;

    private final Choice mChoice;
    private final long mSentNanos;
    private final int mPrefillBefore;
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
        mPrefillBefore = choice.replica().pendingPrefill();
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
     * Reports the time to the first event to the replica, and the prefill speed if nothing else
     * took a large part of that time.
     */
    void recordFirstEvent() {
        final int prefill = mChoice.prefillTokens();
        replica().onPredictionError(firstEventMillis() - mChoice.firstMillis());
        if (mChoice.waitMillis() <= 0
                && prefill >= LONG_PROMPT_TOKENS
                && !mChoice.cached().isExpected()) {
            replica()
                    .onPrefillTime(
                            firstEventMillis() * MICROS_PER_MILLI / (mPrefillBefore + prefill));
        }
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
