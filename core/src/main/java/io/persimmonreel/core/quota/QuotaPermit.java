package io.persimmonreel.core.quota;

import java.util.List;

/**
 * Holds the units that were taken for one request. The request may be sent only if the permit can
 * be spent at that time. Not thread safe.
 */
public final class QuotaPermit {
    /** Permits a request of a customer without a quota. */
    static final QuotaPermit UNLIMITED = new QuotaPermit("", List.of(), 0);

    private final String mCustomer;
    private final List<UnitLot> mLots;
    private final long mEpoch;
    private boolean mIsSpent;

    QuotaPermit(final String customer, final List<UnitLot> lots, final long epoch) {
        mCustomer = customer;
        mLots = List.copyOf(lots);
        mEpoch = epoch;
    }

    String customer() {
        return mCustomer;
    }

    List<UnitLot> lots() {
        return mLots;
    }

    boolean isUnlimited() {
        return mLots.isEmpty();
    }

    boolean isSpent() {
        return mIsSpent;
    }

    void setSpent(final boolean spent) {
        mIsSpent = spent;
    }

    /** Returns whether no unit has expired or was withdrawn by a lower quota. */
    boolean isValid(final long epoch, final long nowNanos) {
        return isUnlimited()
                || mEpoch == epoch && mLots.stream().allMatch(l -> l.expiryNanos() > nowNanos);
    }
}
