package io.persimmonreel.core.replica;

import io.persimmonreel.core.ratelimit.AdvertisedRateLimit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tracks the requests in flight, the speed and the health of one replica since its start, as seen
 * by this daemon. Counters are atomic; the estimates are written by the event loop only and may be
 * read by any thread.
 */
public final class Replica {
    /** Weight of a new sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** Age in nanoseconds from which the load that a replica stated in a response is ignored. */
    private static final long STATED_LOAD_LIFETIME_NANOS = 1_500_000_000L;

    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mPendingPrefillTokens = new AtomicInteger();
    private final HealthRecord mHealth = new HealthRecord();
    private final AdvertisedRateLimit mRateLimit = new AdvertisedRateLimit();
    private final ReplicaAvailability mAvailability;
    private final long mIdHash;
    private volatile ReplicaEntry mEntry;
    private volatile boolean mEvacuated;
    private volatile int mPeerInFlight;
    private volatile int mPeerPendingPrefillTokens;
    private volatile int mStatedLoad;
    private volatile long mStatedLoadNanos = Long.MIN_VALUE / 2;
    private volatile double mTokenMillis;
    private volatile double mPrefillTokenMicros;
    private volatile double mServiceMillis;
    private volatile double mPredictionErrorMillis;
    private volatile int mTokenSamples;

    /**
     * Creates a replica without requests and measurements.
     *
     * @param entry the announced attributes
     */
    public Replica(final ReplicaEntry entry) {
        this(entry, new ReplicaAvailability());
    }

    /** Creates a replica whose entry was gone, with what this start of it said before. */
    Replica(final ReplicaEntry entry, final ReplicaAvailability availability) {
        mEntry = entry;
        mAvailability = availability;
        mIdHash = Affinity.hash(entry.id());
    }

    /**
     * Returns the attributes that the replica announces.
     *
     * @return the newest entry
     */
    public ReplicaEntry entry() {
        return mEntry;
    }

    /**
     * Replaces the attributes that the replica announces.
     *
     * @param entry the newer entry
     */
    public void update(final ReplicaEntry entry) {
        mEntry = entry;
    }

    /**
     * Sets whether the operator asks that the replica's availability zone gets no requests.
     *
     * @param evacuated true from the evacuation of the zone until its end
     */
    void onEvacuated(final boolean evacuated) {
        mEvacuated = evacuated;
    }

    /**
     * Returns whether the directory says that the replica gets no new requests, also as a last
     * resort.
     *
     * @return true while its entry is draining or its zone is evacuated
     */
    public boolean isWithdrawn() {
        return mEvacuated || mEntry.draining();
    }

    /**
     * Returns whether the availability zone of the replica is evacuated.
     *
     * @return true until the evacuation ends
     */
    public boolean isEvacuated() {
        return mEvacuated;
    }

    /**
     * Returns the hash of the replica's id, which is the same on all daemons.
     *
     * @return the 64-bit hash
     */
    public long idHash() {
        return mIdHash;
    }

    /**
     * Returns the health of the replica.
     *
     * @return the record of its failures
     */
    public HealthRecord health() {
        return mHealth;
    }

    /**
     * Returns what this start of the replica says about taking requests.
     *
     * @return the availability
     */
    public ReplicaAvailability availability() {
        return mAvailability;
    }

    /**
     * Returns whether the replica takes new requests, by its entry, by the evacuation of its zone
     * and by what it said in responses. Its health and its rate limit are apart from that.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false while it is draining, evacuated, leaving or pushed back
     */
    public boolean isOpen(final long nowNanos) {
        return waitMillis(nowNanos) <= 0;
    }

    /**
     * Returns the time until the replica takes new requests.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds, 0 if it takes them now, infinite if it is draining,
     *     evacuated or leaving
     */
    public double waitMillis(final long nowNanos) {
        return isWithdrawn() ? Double.POSITIVE_INFINITY : mAvailability.waitMillis(nowNanos);
    }

    /**
     * Returns the rate limit that the replica advertises, to be used by the event loop only.
     *
     * @return the limit, which ends with this start of the replica
     */
    public AdvertisedRateLimit rateLimit() {
        return mRateLimit;
    }

    /**
     * Records that a request is sent.
     *
     * @param prefillTokens the predicted prompt tokens that are not cached at the replica
     */
    public void onSent(final int prefillTokens) {
        mInFlight.incrementAndGet();
        mPendingPrefillTokens.addAndGet(prefillTokens);
    }

    /**
     * Records that the prefill of a request ended, or that the request ended before.
     *
     * @param prefillTokens the tokens passed to {@link #onSent}
     */
    public void onPrefilled(final int prefillTokens) {
        mPendingPrefillTokens.addAndGet(-prefillTokens);
    }

    /** Records that a request ended. */
    public void onEnded() {
        mInFlight.decrementAndGet();
    }

    /**
     * Sets the load from other daemons.
     *
     * @param inFlight their requests in flight
     * @param prefillTokens the prompt tokens of these requests that wait for prefill
     */
    public void onPeerLoad(final int inFlight, final int prefillTokens) {
        mPeerInFlight = inFlight;
        mPeerPendingPrefillTokens = prefillTokens;
    }

    /**
     * Sets the load that the replica stated in a response.
     *
     * @param requests its running and waiting requests
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onStatedLoad(final int requests, final long nowNanos) {
        mStatedLoad = requests;
        mStatedLoadNanos = nowNanos;
    }

    /**
     * Returns the number of requests in flight from this daemon.
     *
     * @return the requests
     */
    public int ownInFlight() {
        return mInFlight.get();
    }

    /**
     * Returns the prompt tokens from this daemon that wait for prefill.
     *
     * @return the tokens
     */
    public int ownPendingPrefill() {
        return Math.max(0, mPendingPrefillTokens.get());
    }

    /**
     * Estimates the running and waiting requests from all daemons.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the requests in flight, or more if the replica stated a higher load; the excess
     *     counts less with its age
     */
    public double load(final long nowNanos) {
        final double inFlight = mInFlight.get() + mPeerInFlight;
        final long age = nowNanos - mStatedLoadNanos;
        if (age < 0 || age >= STATED_LOAD_LIFETIME_NANOS || mStatedLoad <= inFlight) {
            return inFlight;
        }
        return inFlight
                + (mStatedLoad - inFlight) * (1.0 - (double) age / STATED_LOAD_LIFETIME_NANOS);
    }

    /**
     * Estimates the prompt tokens that wait for prefill.
     *
     * @return the tokens from this daemon and its peers
     */
    public int pendingPrefill() {
        return ownPendingPrefill() + mPeerPendingPrefillTokens;
    }

    /**
     * Adds a measurement of the time to generate a token.
     *
     * @param millisPerToken the time per token in milliseconds
     */
    public void onTokenTime(final double millisPerToken) {
        mTokenMillis = average(mTokenMillis, millisPerToken);
        mTokenSamples++;
    }

    /**
     * Adds a measurement of the prefill time.
     *
     * @param microsPerToken the time per prompt token in microseconds
     */
    public void onPrefillTime(final double microsPerToken) {
        mPrefillTokenMicros = average(mPrefillTokenMicros, microsPerToken);
    }

    /**
     * Adds the error of a predicted time to the first event.
     *
     * @param millis the actual time minus the predicted one, in milliseconds
     */
    public void onPredictionError(final double millis) {
        mPredictionErrorMillis += SAMPLE_WEIGHT * (millis - mPredictionErrorMillis);
    }

    /**
     * Returns by how much first events are later than predicted on average.
     *
     * @return the mean error in milliseconds, not negative
     */
    public double predictionErrorMillis() {
        return Math.max(0.0, mPredictionErrorMillis);
    }

    /**
     * Adds a measurement of the time to serve a whole request.
     *
     * @param millis the time in milliseconds
     */
    public void onServed(final double millis) {
        mServiceMillis = average(mServiceMillis, millis);
    }

    /**
     * Returns the mean time to generate a token.
     *
     * @param fallback the time in milliseconds to assume before the first measurement
     * @return the time in milliseconds
     */
    public double tokenMillis(final double fallback) {
        return mTokenMillis > 0 ? mTokenMillis : fallback;
    }

    /**
     * Returns the mean prefill time per prompt token.
     *
     * @param fallback the time in microseconds to assume before the first measurement
     * @return the time in microseconds
     */
    public double prefillTokenMicros(final double fallback) {
        return mPrefillTokenMicros > 0 ? mPrefillTokenMicros : fallback;
    }

    /**
     * Returns the mean time to serve a whole request.
     *
     * @param fallback the time in milliseconds to assume before the first measurement
     * @return the time in milliseconds
     */
    public double serviceMillis(final double fallback) {
        return mServiceMillis > 0 ? mServiceMillis : fallback;
    }

    /**
     * Returns the mean time to generate a token as this daemon measured it.
     *
     * @return the time in milliseconds, 0 before the first measurement
     */
    public double measuredTokenMillis() {
        return mTokenSamples > 0 ? mTokenMillis : 0;
    }

    /**
     * Sets the time to generate a token as a peer measured it; ignored if this daemon has its own
     * measurements.
     *
     * @param millisPerToken the time per token in milliseconds
     */
    public void onPeerTokenTime(final double millisPerToken) {
        if (mTokenSamples == 0 && millisPerToken > 0) {
            mTokenMillis = millisPerToken;
        }
    }

    private static double average(final double before, final double sample) {
        return before <= 0 ? sample : before + SAMPLE_WEIGHT * (sample - before);
    }
}
