package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.PlaceForecast;
import io.persimmonreel.core.admission.RateLimitedWait;
import io.persimmonreel.core.grant.SlotAnswer;
import io.persimmonreel.core.placement.UpstreamCapacity;

/**
 * Predicts when waiting requests get a slot, in one pass over the queue of an upstream. It adds up
 * the work of the requests that go on waiting, which are before the next ones. Not thread safe.
 */
final class PlacementPass {
    private final UpstreamCapacity mCapacity;
    private final boolean mIsAnyClosed;
    private final int mMaximumUnplaced;
    private double mAheadMillis;
    private int mAhead;

    /**
     * Creates a pass.
     *
     * @param capacity the capacity of the replicas that take requests
     * @param isAnyClosed whether other replicas take no requests now, but will later
     * @param maximumUnplaced the number of requests without a place after which the rest would not
     *     be placed either
     */
    PlacementPass(
            final UpstreamCapacity capacity, final boolean isAnyClosed, final int maximumUnplaced) {
        mCapacity = capacity;
        mIsAnyClosed = isAnyClosed;
        mMaximumUnplaced = maximumUnplaced;
    }

    /** Returns whether the next request would find no place at any replica. */
    boolean isExhausted() {
        return mAhead >= mMaximumUnplaced;
    }

    /** Returns whether some replicas take no requests now, but will later. */
    boolean isAnyClosed() {
        return mIsAnyClosed;
    }

    /** Returns whether no replica is known that takes requests now. */
    boolean isWithoutCapacity() {
        return mCapacity.isEmpty();
    }

    /**
     * Predicts when a request gets a slot of the replicas that take requests now.
     *
     * @param aheadMillis the time in milliseconds for which those before it take a slot, added up
     * @return the time in milliseconds, 0 if there is no such replica: it is not known then which
     *     requests can be on time
     */
    double startMillis(final double aheadMillis) {
        return mCapacity.isEmpty()
                ? 0
                : mCapacity.queuedMillis() + aheadMillis / mCapacity.ownSlots();
    }

    /**
     * Predicts when the next request gets a slot.
     *
     * @param closed the wait for the replicas that take no requests now, empty if there are none
     */
    PlaceForecast forecast(final RateLimitedWait closed) {
        if (mCapacity.isEmpty()) {
            return closed.isEmpty() ? PlaceForecast.UNKNOWN : closed.forecast(mAhead);
        }
        final PlaceForecast later = closed.forecast(0);
        if (closed.isEmpty() || Double.isInfinite(later.intervalMillis())) {
            return mCapacity.forecast(mAheadMillis);
        }
        final PlaceForecast open = mCapacity.forecast(0);
        // The requests before it are divided by the rates at which replicas take them.
        final double openShare =
                later.intervalMillis() / (later.intervalMillis() + open.intervalMillis());
        return mCapacity
                .forecast(mAheadMillis * openShare)
                .orEarlier(closed.forecast(mAhead * (1.0 - openShare)));
    }

    /**
     * Predicts when a request gets a slot that its granter grants.
     *
     * @param slot what the granter answered
     */
    PlaceForecast forecast(final SlotAnswer slot) {
        final double intervalMillis = forecast(new RateLimitedWait()).intervalMillis();
        return new PlaceForecast(slot.waitMillis(), intervalMillis, 0);
    }

    /**
     * Records that a request goes on waiting.
     *
     * @param runMillis the time in milliseconds for which it will take a slot
     */
    void onHeld(final double runMillis) {
        mAhead++;
        mAheadMillis += runMillis;
    }
}
