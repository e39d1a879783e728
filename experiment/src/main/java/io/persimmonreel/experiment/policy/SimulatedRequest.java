package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.PendingRequest;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;

/** Holds one request of a simulation: what the caller sent, its progress and how it ended. */
final class SimulatedRequest {
    /** Tells whether a request is open, or how it ended. */
    enum Status {
        OPEN,
        /** The complete response arrived, within the objective or later. */
        COMPLETED,
        /** The policy refused it, or no replica accepted a connection. */
        REFUSED,
        /** The replica or the daemon was lost. */
        FAILED,
        /** The deadline passed. */
        EXPIRED
    }

    private final PendingRequest mPending;
    private final ServiceSpec mService;
    private final int mOutputTokens;
    private final long mPlainServiceNanos;

    RequestListener mListener;
    SimulatedReplica mReplica;
    Status mStatus = Status.OPEN;

    /** Time of the first token, or of the response of a plain replica. */
    long mFirstTokenNanos;

    long mEndNanos;
    int mGeneratedTokens;

    /** Prompt tokens still to be computed; -1 until an engine admits the request to its batch. */
    int mPrefillTokensLeft;

    int mPrefillTokensComputed;

    /** Whether a replica holds the request. */
    boolean mHeldByReplica;

    /** Whether the KV cache is being moved to another replica. */
    boolean mImporting;

    /** Whether the stream is to be paused when the import ends. */
    boolean mPauseAfterImport;

    /** Receives the events of a request at its replica. */
    interface RequestListener {
        /** Handles a generated token. */
        void onToken(SimulatedRequest request);

        /** Handles the end of the complete response. */
        void onCompleted(SimulatedRequest request);

        /** Handles the crash of the replica. */
        void onBroken(SimulatedRequest request);
    }

    SimulatedRequest(
            final PendingRequest pending,
            final ServiceSpec service,
            final int outputTokens,
            final long plainServiceNanos) {
        mPending = pending;
        mService = service;
        mOutputTokens = outputTokens;
        mPlainServiceNanos = plainServiceNanos;
    }

    /** Copies the request as it was sent, for a run under another policy. */
    SimulatedRequest copyAsSent() {
        return new SimulatedRequest(mPending, mService, mOutputTokens, mPlainServiceNanos);
    }

    PendingRequest pending() {
        return mPending;
    }

    ServiceSpec service() {
        return mService;
    }

    Tier tier() {
        return mPending.tier();
    }

    int outputTokens() {
        return mOutputTokens;
    }

    long plainServiceNanos() {
        return mPlainServiceNanos;
    }

    boolean isOpen() {
        return mStatus == Status.OPEN;
    }

    /** Tells whether the response completed within all times of the objective. */
    boolean isGood() {
        if (mStatus != Status.COMPLETED) {
            return false;
        }
        final long arrival = mPending.arrivalNanos();
        final long betweenTokens =
                mOutputTokens > 1 ? (mEndNanos - mFirstTokenNanos) / (mOutputTokens - 1) : 0;
        return mFirstTokenNanos - arrival <= mService.objective().firstToken().toNanos()
                && mEndNanos - arrival <= mService.objective().complete().toNanos()
                && betweenTokens <= mService.objective().betweenTokens().toNanos();
    }
}
