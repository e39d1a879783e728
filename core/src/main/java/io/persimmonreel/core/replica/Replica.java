package io.persimmonreel.core.replica;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Holds what this daemon believes of one incarnation of a replica: requests in flight, speed and
 * health. Counters are atomic; the estimates are written by the event loop and may be read
 * anywhere.
 */
public final class Replica {
    /** Weight of a new sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** A load header tells of the past; after this time in nanoseconds it is not used. */
    private static final long OBSERVATION_NANOS = 1_500_000_000L;

    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mPendingPrefill = new AtomicInteger();
    private final HealthRecord mHealth = new HealthRecord();
    private final long mHash;
    private volatile ReplicaEntry mEntry;
    private volatile int mPeerInFlight;
    private volatile int mPeerPrefill;
    private volatile int mObservedLoad;
    private volatile long mObservedNanos = Long.MIN_VALUE / 2;
    private volatile double mTokenMillis;
    private volatile double mPrefillTokenMicros;
    private volatile double mServiceMillis;
    private volatile double mErrorMillis;
    private volatile int mSamples;

    /**
     * Creates a replica without history.
     *
     * @param entry what it announces
     */
    public Replica(final ReplicaEntry entry) {
        mEntry = entry;
        mHash = Affinity.hash(entry.id());
    }

    /**
     * Returns what the replica announces.
     *
     * @return the newest entry
     */
    public ReplicaEntry entry() {
        return mEntry;
    }

    /**
     * Replaces what the replica announces.
     *
     * @param entry the newer entry
     */
    public void update(final ReplicaEntry entry) {
        mEntry = entry;
    }

    /**
     * Returns the hash of the id, which all daemons compute alike.
     *
     * @return 64 bits
     */
    public long idHash() {
        return mHash;
    }

    /**
     * Returns the record of failures.
     *
     * @return the record
     */
    public HealthRecord health() {
        return mHealth;
    }

    /**
     * Counts a request that is sent.
     *
     * @param prefillTokens the prompt tokens that the replica is expected to read
     */
    public void onSent(final int prefillTokens) {
        mInFlight.incrementAndGet();
        mPendingPrefill.addAndGet(prefillTokens);
    }

    /**
     * Counts a request whose prompt was read, or that ended before.
     *
     * @param prefillTokens the tokens passed to {@link #onSent}
     */
    public void onPrefilled(final int prefillTokens) {
        mPendingPrefill.addAndGet(-prefillTokens);
    }

    /** Counts a request that ended. */
    public void onEnded() {
        mInFlight.decrementAndGet();
    }

    /**
     * Sets the requests in flight from other daemons.
     *
     * @param inFlight the requests
     * @param prefillTokens their prompt tokens that were not yet read
     */
    public void onPeers(final int inFlight, final int prefillTokens) {
        mPeerInFlight = inFlight;
        mPeerPrefill = prefillTokens;
    }

    /**
     * Takes the load that the replica stated in a response.
     *
     * @param requests running and waiting requests
     * @param nowNanos the present monotonic time in nanoseconds
     */
    public void onObservedLoad(final int requests, final long nowNanos) {
        mObservedLoad = requests;
        mObservedNanos = nowNanos;
    }

    /**
     * Returns the requests in flight from this daemon.
     *
     * @return the requests
     */
    public int ownInFlight() {
        return mInFlight.get();
    }

    /**
     * Returns the prompt tokens that this daemon sent and that were not yet read.
     *
     * @return the tokens
     */
    public int ownPrefill() {
        return Math.max(0, mPendingPrefill.get());
    }

    /**
     * Estimates running and waiting requests from all daemons.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     * @return the higher of the counted requests and what the replica stated, weighted by age
     */
    public double load(final long nowNanos) {
        final double counted = mInFlight.get() + mPeerInFlight;
        final long age = nowNanos - mObservedNanos;
        if (age < 0 || age >= OBSERVATION_NANOS || mObservedLoad <= counted) {
            return counted;
        }
        return counted + (mObservedLoad - counted) * (1.0 - (double) age / OBSERVATION_NANOS);
    }

    /**
     * Estimates the prompt tokens that wait to be read.
     *
     * @return tokens of this daemon and of its peers
     */
    public int pendingPrefill() {
        return ownPrefill() + mPeerPrefill;
    }

    /**
     * Takes the time between two events of a stream.
     *
     * @param millisPerToken the time for one token in milliseconds
     */
    public void onTokenTime(final double millisPerToken) {
        mTokenMillis = average(mTokenMillis, millisPerToken);
        mSamples++;
    }

    /**
     * Takes the time in which a prompt was read.
     *
     * @param microsPerToken the time for one prompt token in microseconds
     */
    public void onPrefillTime(final double microsPerToken) {
        mPrefillTokenMicros = average(mPrefillTokenMicros, microsPerToken);
    }

    /**
     * Takes the error of a prediction of a first event.
     *
     * @param millis the actual time less the predicted one, in milliseconds
     */
    public void onPredictionError(final double millis) {
        mErrorMillis += SAMPLE_WEIGHT * (millis - mErrorMillis);
    }

    /**
     * Returns by how much first events come later than predicted.
     *
     * @return the mean error in milliseconds, not negative
     */
    public double errorMillis() {
        return Math.max(0.0, mErrorMillis);
    }

    /**
     * Takes the time in which a whole request was served.
     *
     * @param millis the time in milliseconds
     */
    public void onServed(final double millis) {
        mServiceMillis = average(mServiceMillis, millis);
    }

    /**
     * Returns the time for one token.
     *
     * @param fallback the time in milliseconds that is assumed before the first sample
     * @return milliseconds
     */
    public double tokenMillis(final double fallback) {
        return mTokenMillis > 0 ? mTokenMillis : fallback;
    }

    /**
     * Returns the time to read one prompt token.
     *
     * @param fallback the time in microseconds that is assumed before the first sample
     * @return microseconds
     */
    public double prefillTokenMicros(final double fallback) {
        return mPrefillTokenMicros > 0 ? mPrefillTokenMicros : fallback;
    }

    /**
     * Returns the mean time of a whole request.
     *
     * @param fallback the time in milliseconds that is assumed before the first sample
     * @return milliseconds
     */
    public double serviceMillis(final double fallback) {
        return mServiceMillis > 0 ? mServiceMillis : fallback;
    }

    /**
     * Returns the learned time for one token.
     *
     * @return milliseconds, 0 before the first sample
     */
    public double learnedTokenMillis() {
        return mSamples > 0 ? mTokenMillis : 0;
    }

    /**
     * Takes the speed that a peer learned, if this daemon has none of its own.
     *
     * @param millisPerToken the time for one token in milliseconds
     */
    public void onPeerTokenTime(final double millisPerToken) {
        if (mSamples == 0 && millisPerToken > 0) {
            mTokenMillis = millisPerToken;
        }
    }

    private static double average(final double before, final double sample) {
        return before <= 0 ? sample : before + SAMPLE_WEIGHT * (sample - before);
    }
}
