package io.persimmonreel.core.schedule;

import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.Tier;
import java.util.ArrayList;
import java.util.List;

/** Holds what this daemon knows about one replica. Callers hold the scheduler's lock. */
final class ReplicaState {
    private static final long SLOW_START_NANOS = 10_000_000_000L;
    private static final double SLOW_START_MINIMUM_FRACTION = 0.1;

    /** The weight of reported load that no daemon accounts for falls linearly to 0 by this age. */
    private static final double REPORT_DECAY_NANOS = 3e9;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LATENCY_NOISE_NANOS = 100e6;
    private static final double MINIMUM_EXPECTED_NANOS = 20e6;

    private final ReplicaSpec mSpec;
    private final CircuitBreaker mBreaker = new CircuitBreaker();
    private final ConcurrencyLimit mLimit;
    private final SpeedEstimate mSpeed = new SpeedEstimate();
    private final RecentPrefixes mPrefixes = new RecentPrefixes();
    private ReplicaAvailability mAvailability = ReplicaAvailability.LIVE;
    private boolean mSlowStart;
    private long mSlowStartNanos;
    private double mOutlierLimitFactor = 1;
    private final List<TrackedRequest> mRunning = new ArrayList<>();
    private int mOwnPrefillTokens;
    private int mOwnBulkPrefills;
    private int mOwnIsolated;
    private int mPeerInFlight;
    private int mPeerPrefillTokens;
    private double mUnattributedRequests;
    private double mUnattributedPrefillTokens;
    private long mReportedNanos;

    ReplicaState(final ReplicaSpec spec) {
        mSpec = spec;
        mLimit = new ConcurrencyLimit(spec.concurrency());
    }

    ReplicaSpec spec() {
        return mSpec;
    }

    String id() {
        return mSpec.id();
    }

    SpeedEstimate speed() {
        return mSpeed;
    }

    RecentPrefixes prefixes() {
        return mPrefixes;
    }

    ReplicaAvailability availability() {
        return mAvailability;
    }

    /**
     * Returns this daemon's requests in flight at the replica; callers must not change the list.
     */
    List<TrackedRequest> running() {
        return mRunning;
    }

    int ownInFlight() {
        return mRunning.size();
    }

    int ownPrefillTokens() {
        return mOwnPrefillTokens;
    }

    int ownBulkPrefills() {
        return mOwnBulkPrefills;
    }

    boolean runsIsolated() {
        return mOwnIsolated > 0;
    }

    void availability(final ReplicaAvailability availability, final long nowNanos) {
        if (availability == ReplicaAvailability.DOWN) {
            mPrefixes.clear();
        } else if (mAvailability == ReplicaAvailability.DOWN) {
            beginSlowStart(nowNanos);
        }
        mAvailability = availability;
    }

    void beginSlowStart(final long nowNanos) {
        mSlowStart = true;
        mSlowStartNanos = nowNanos;
    }

    void outlierLimitFactor(final double factor) {
        mOutlierLimitFactor = factor;
    }

    /** Tells whether the replica is live and its circuit breaker is closed. */
    boolean isServable() {
        return mAvailability == ReplicaAvailability.LIVE && !mBreaker.isOpen();
    }

    /** Tells whether a request may be sent now, also one that probes an open circuit breaker. */
    boolean acceptsWork(final long nowNanos) {
        return mAvailability == ReplicaAvailability.LIVE && mBreaker.allows(nowNanos);
    }

    /** Returns how many requests of all daemons may be in flight at the replica, at least 1. */
    double limit(final long nowNanos) {
        double limit = mLimit.limit() * mOutlierLimitFactor;
        if (mSlowStart) {
            final double share = (double) (nowNanos - mSlowStartNanos) / SLOW_START_NANOS;
            if (share >= 1) {
                mSlowStart = false;
            } else {
                limit *= Math.max(SLOW_START_MINIMUM_FRACTION, share);
            }
        }
        return Math.max(1, limit);
    }

    /** Returns the estimated number of requests of all daemons in flight at the replica. */
    double occupancy(final long nowNanos) {
        return mRunning.size() + mPeerInFlight + mUnattributedRequests * reportWeight(nowNanos);
    }

    /** Returns the estimated number of prompt tokens that wait for prefill. */
    double backlogTokens(final long nowNanos) {
        double unattributed = 0;
        if (mUnattributedPrefillTokens > 0) {
            final double seconds = (nowNanos - mReportedNanos) / NANOS_PER_SECOND;
            unattributed =
                    Math.max(
                            0,
                            mUnattributedPrefillTokens - seconds * mSpeed.prefillTokensPerSecond());
        }
        return mOwnPrefillTokens + mPeerPrefillTokens + unattributed;
    }

    private double reportWeight(final long nowNanos) {
        if (mUnattributedRequests == 0) {
            return 0;
        }
        return Math.max(0, 1 - (nowNanos - mReportedNanos) / REPORT_DECAY_NANOS);
    }

    void onReport(final LoadReport report, final long nowNanos) {
        mReportedNanos = nowNanos - report.ageMillis() * 1_000_000L;
        mUnattributedRequests =
                Math.max(0, report.running() + report.waiting() - mRunning.size() - mPeerInFlight);
        mUnattributedPrefillTokens =
                Math.max(0, report.prefillBacklogTokens() - mOwnPrefillTokens - mPeerPrefillTokens);
    }

    /** Adds to the load from peers; negative values subtract. */
    void addPeerLoad(final int inFlight, final int prefillTokens) {
        mPeerInFlight = Math.max(0, mPeerInFlight + inFlight);
        mPeerPrefillTokens = Math.max(0, mPeerPrefillTokens + prefillTokens);
    }

    /** Occupies a slot for a dispatched or resumed request. */
    void occupySlot(final TrackedRequest request, final boolean prefill) {
        mRunning.add(request);
        mBreaker.onDispatch();
        if (request.request().isolated()) {
            mOwnIsolated++;
        }
        if (prefill) {
            request.mPrefillCounted = true;
            mOwnPrefillTokens += request.mUncachedTokens;
            mOwnBulkPrefills += request.tier() == Tier.BULK ? 1 : 0;
            mPrefixes.add(request.request().prefixHash());
        }
    }

    /** Frees the slot of a request that ended, was paused or broke. */
    void freeSlot(final TrackedRequest request) {
        mRunning.remove(request);
        if (request.request().isolated()) {
            mOwnIsolated = Math.max(0, mOwnIsolated - 1);
        }
        endPrefill(request);
    }

    private void endPrefill(final TrackedRequest request) {
        if (request.mPrefillCounted) {
            request.mPrefillCounted = false;
            mOwnPrefillTokens = Math.max(0, mOwnPrefillTokens - request.mUncachedTokens);
            mOwnBulkPrefills -= request.tier() == Tier.BULK ? 1 : 0;
        }
    }

    void onFirstToken(final TrackedRequest request, final long nowNanos) {
        endPrefill(request);
        final long nanos = nowNanos - request.mDispatchedNanos;
        final double tokens = request.mBacklogTokens + request.mUncachedTokens;
        final double expected =
                Math.max(
                        MINIMUM_EXPECTED_NANOS,
                        tokens * NANOS_PER_SECOND / mSpeed.prefillTokensPerSecond());
        mLimit.onLatency(nanos / expected, nanos - expected, LATENCY_NOISE_NANOS, nowNanos);
        mSpeed.onFirstToken(tokens, nanos);
    }

    void onPlainResponse(final long nanos, final long nowNanos) {
        final double expected = Math.max(MINIMUM_EXPECTED_NANOS, mSpeed.latencyNanos());
        mLimit.onLatency(nanos / expected, nanos - expected, LATENCY_NOISE_NANOS, nowNanos);
        mSpeed.onPlainResponse(nanos);
    }

    void onSuccess(final long nowNanos) {
        mSpeed.onOutcome(false);
        if (mBreaker.onSuccess()) {
            beginSlowStart(nowNanos);
        }
    }

    void onFailure(final long nowNanos) {
        mSpeed.onOutcome(true);
        mBreaker.onFailure(nowNanos);
    }

    void onCancelled() {
        mBreaker.onCancelled();
    }
}
