package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.quota.ClaimRefusal;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.quota.QuotaClaim;
import io.persimmonreel.core.quota.QuotaPermit;
import io.persimmonreel.core.quota.QuotaState;
import io.persimmonreel.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

/**
 * Holds the permits of calls from the quotas of their customers, and the calls that wait for one.
 * All methods run on the event loop.
 */
final class QuotaGate {
    /** The shortest Retry-After time for a customer whose quota is exhausted, in milliseconds. */
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 300;

    private final FleetQuota mQuota;
    private final TimeSource mTime;
    private final Executor mEventLoop;
    private final QuotaUseLog mUseLog;
    private final Predicate<String> mHasRoom;
    private final Listener mListener;
    private final Map<RelayCall, QuotaPermit> mPermits = new HashMap<>();
    private final Map<RelayCall, QuotaClaim> mClaims = new HashMap<>();
    private QuotaPeers mPeers;
    private boolean mIsFlushPending;

    /** Receives the decisions on calls. */
    interface Listener {
        /** Handles a call that may be sent, as long as its permit is valid. */
        void onPermitted(RelayCall call);

        /** Handles a call that is beyond its customer's quota. */
        void onQuotaExhausted(RelayCall call, ClaimRefusal refusal);
    }

    /**
     * Creates a gate.
     *
     * @param quota the quotas
     * @param time the clocks
     * @param eventLoop runs later tasks
     * @param useLog counts the use of quotas
     * @param hasRoom tells whether an upstream has room for requests beyond quotas
     * @param listener receives the decisions
     */
    QuotaGate(
            final FleetQuota quota,
            final TimeSource time,
            final Executor eventLoop,
            final QuotaUseLog useLog,
            final Predicate<String> hasRoom,
            final Listener listener) {
        mQuota = quota;
        mTime = time;
        mEventLoop = eventLoop;
        mUseLog = useLog;
        mHasRoom = hasRoom;
        mListener = listener;
    }

    /** Sets the peers that may have units of quotas. */
    void exchangeWith(final QuotaPeers peers) {
        mPeers = peers;
    }

    /** Returns the number of calls that wait for a permit. */
    int waiting() {
        return mClaims.size();
    }

    /**
     * Decides on a call now or later. A call that was admitted before waits for its permit for as
     * long as it has time.
     */
    void admit(final RelayCall call) {
        if (isPermitted(call)) {
            mListener.onPermitted(call);
            return;
        }
        final boolean wasAdmitted = mPermits.remove(call) != null;
        final CallClaimListener listener = new CallClaimListener(call, wasAdmitted);
        final QuotaClaim claim =
                mQuota.claim(
                        call.task().customer(),
                        mQuota.unitsToClaim(
                                call.task().customer(),
                                call.task().units(),
                                wasAdmitted || mHasRoom.test(call.task().upstream())),
                        wasAdmitted,
                        listener,
                        mTime.monotonicNanos());
        if (!listener.mIsDecided) {
            mClaims.put(call, claim);
            requestFlush();
        }
    }

    /** Returns whether a call could be sent now. */
    boolean isPermitted(final RelayCall call) {
        final QuotaPermit permit = mPermits.get(call);
        return call.task().customer() == null
                || permit != null && mQuota.isValid(permit, mTime.monotonicNanos());
    }

    /** Returns whether a call may be sent; if so, it must be sent at once. */
    boolean spend(final RelayCall call) {
        if (call.task().customer() == null) {
            return true;
        }
        if (mPeers != null) {
            mPeers.checkSuspended(mTime.monotonicNanos());
        }
        final QuotaPermit permit = mPermits.get(call);
        return permit != null && mQuota.spend(permit, mTime.monotonicNanos());
    }

    /** Restores the permit of a call whose replica stated that it did not run. */
    void onNotRun(final RelayCall call) {
        final QuotaPermit permit = mPermits.get(call);
        if (permit != null) {
            mQuota.restore(permit);
            mUseLog.add(call.task().customerName(), QuotaEvent.RETURNED, call.task().units());
        }
    }

    /** Takes back what a call that has ended did not use. */
    void onDone(final RelayCall call) {
        final QuotaClaim claim = mClaims.remove(call);
        if (claim != null) {
            claim.cancel();
        }
        final QuotaPermit permit = mPermits.remove(call);
        if (permit != null) {
            mQuota.release(permit, mTime.monotonicNanos());
        }
    }

    /** Returns the state of a call's quota, to explain a refusal. */
    Optional<QuotaState> state(final RelayCall call) {
        return mQuota.state(call.task().customer(), mTime.monotonicNanos());
    }

    private void requestFlush() {
        if (mPeers != null && !mIsFlushPending) {
            mIsFlushPending = true;
            mEventLoop.execute(
                    () -> {
                        mIsFlushPending = false;
                        mPeers.flush();
                    });
        }
    }

    /** Passes the outcome of a claim on to its call. */
    private final class CallClaimListener implements QuotaClaim.Listener {
        private final RelayCall mCall;
        private final boolean mWasAdmitted;
        private boolean mIsDecided;

        CallClaimListener(final RelayCall call, final boolean wasAdmitted) {
            mCall = call;
            mWasAdmitted = wasAdmitted;
        }

        @Override
        public void onGranted(final QuotaPermit permit, final long nowNanos) {
            mIsDecided = true;
            mClaims.remove(mCall);
            mPermits.put(mCall, permit);
            if (!mWasAdmitted) {
                mUseLog.add(mCall.task().customerName(), QuotaEvent.ADMITTED, mCall.task().units());
            }
            mListener.onPermitted(mCall);
        }

        @Override
        public void onRefused(final ClaimRefusal refusal) {
            mIsDecided = true;
            mClaims.remove(mCall);
            mUseLog.add(mCall.task().customerName(), QuotaEvent.REFUSED, mCall.task().units());
            mListener.onQuotaExhausted(
                    mCall,
                    new ClaimRefusal(
                            refusal.cause(),
                            Math.max(MINIMUM_RETRY_AFTER_MILLIS, refusal.retryMillis())));
        }
    }
}
