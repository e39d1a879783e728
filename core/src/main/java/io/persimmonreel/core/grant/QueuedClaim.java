package io.persimmonreel.core.grant;

import io.persimmonreel.core.admission.QueuePosition;
import io.persimmonreel.core.peer.SlotClaim;
import java.util.Comparator;

/** Holds a claim that waits at its granter, and its place in the last order. Not thread safe. */
final class QueuedClaim {
    /** Orders claims that can be on time first, then ranks that are behind, then by position. */
    static final Comparator<QueuedClaim> ORDER =
            (a, b) -> {
                if (a.mPosition.isLate() != b.mPosition.isLate()) {
                    return a.mPosition.isLate() ? 1 : -1;
                }
                if (a.mIsBehind != b.mIsBehind) {
                    return a.mIsBehind ? -1 : 1;
                }
                return a.mPosition.compareTo(b.mPosition);
            };

    private final ClaimKey mKey;
    private SlotClaim mClaim;
    private long mReceivedNanos;
    private QueuePosition mPosition;
    private boolean mIsBehind;
    private boolean mIsUnanswered;
    private boolean mIsEnded;

    QueuedClaim(final ClaimKey key) {
        mKey = key;
    }

    ClaimKey key() {
        return mKey;
    }

    /** Returns what the daemon stated last. */
    SlotClaim claim() {
        return mClaim;
    }

    long receivedNanos() {
        return mReceivedNanos;
    }

    /** Records that the daemon states the claim, which is to be answered. */
    void onStated(final SlotClaim claim, final long nowNanos) {
        mClaim = claim;
        mReceivedNanos = nowNanos;
        mIsUnanswered = true;
    }

    /**
     * Sets what the claim is ordered by.
     *
     * @param position its position among all claims
     * @param isBehind whether its rank is served less often than a lower one
     */
    void place(final QueuePosition position, final boolean isBehind) {
        mPosition = position;
        mIsBehind = isBehind;
    }

    boolean isUnanswered() {
        return mIsUnanswered;
    }

    void onAnswered() {
        mIsUnanswered = false;
    }

    /** Records that the claim waits no longer. */
    void end() {
        mIsEnded = true;
    }

    boolean isEnded() {
        return mIsEnded;
    }
}
