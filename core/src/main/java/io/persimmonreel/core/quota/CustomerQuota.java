package io.persimmonreel.core.quota;

import io.persimmonreel.core.quota.ClaimRefusal.Cause;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Holds the units of one customer's quota at this daemon and the claims on them.
 *
 * <p>A share of the fleet's units accrues here; others come from peers. Claims are granted in order
 * of arrival, whatever their size. Not thread safe.
 */
final class CustomerQuota {
    /** A claim is refused at once if those before it need more time, in milliseconds. */
    private static final double MAXIMUM_QUEUE_MILLIS = 150;

    /** The time for which claims are not sent on after a peer refused one, in nanoseconds. */
    private static final long SHORTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** The time after a refusal for which units that accrue here are left to the collector. */
    private static final long POOLING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Requests with at most this share of the mean units of a request take none that matter to
     * others, so they don't wait behind these.
     */
    private static final double NEGLIGIBLE_SHARE = 0.1;

    /** The weight of one more request in the mean units of a request. */
    private static final double MEAN_WEIGHT = 0.05;

    /** The shortest and the longest time for which a claim waits, in nanoseconds. */
    private static final long MINIMUM_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final long MAXIMUM_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The multiple of the time in which its units accrue for which a claim waits. */
    private static final double HOLD_FACTOR = 1.5;

    /** The time for which a patient claim waits, in nanoseconds. */
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** Units should not expire before they reach a peer or their request is sent. */
    private static final long USEFUL_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The units with less life would expire on their way to a peer. */
    private static final long MINIMUM_TRANSFER_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The use for which units are kept here, in seconds. */
    private static final double KEPT_SECONDS = 0.25;

    /** Claims above this share of the units that can be in store are refused. */
    private static final double MAXIMUM_CLAIM_SHARE = 0.9;

    /** The longest wait that callers are told, in milliseconds. */
    private static final double MAXIMUM_WAIT_MILLIS = 10_000;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final String mName;
    private final UnitStock mStock = new UnitStock();

    /** The units that accrued here during a shortage, which the collector grants to claims. */
    private final UnitStock mPooled = new UnitStock();

    private final Deque<QuotaClaim> mClaims = new ArrayDeque<>();
    private Allowance mAllowance;
    private long mEpoch;
    private long mAccruedNanos;
    private double mFraction;
    private long mShortUntilNanos;
    private long mPoolUntilNanos;
    private boolean mHasCollector;
    private long mUsedSinceTick;
    private long mTickNanos;
    private double mUsePerSecond;
    private double mMeanUnits;

    CustomerQuota(final String name, final Allowance allowance, final long nowNanos) {
        mName = name;
        mAllowance = allowance;
        mAccruedNanos = nowNanos;
        mShortUntilNanos = nowNanos;
        mPoolUntilNanos = nowNanos;
        mTickNanos = nowNanos;
    }

    String name() {
        return mName;
    }

    boolean isUnlimited() {
        return mAllowance.ratePerSecond() <= 0;
    }

    /** Changes the allowance; if it is lower, units of the old one are withdrawn. */
    void configure(final Allowance allowance, final long nowNanos) {
        if (allowance.isBelow(mAllowance) || isUnlimited() && allowance.ratePerSecond() > 0) {
            final double share =
                    isUnlimited() ? 0 : allowance.ratePerSecond() / mAllowance.ratePerSecond();
            mStock.reduce(share, nowNanos + allowance.lifeNanos());
            mPooled.reduce(share, nowNanos + allowance.lifeNanos());
            mEpoch++;
        }
        mAllowance = allowance;
    }

    /** Drops all units, whose age is not known any more. */
    void clear(final long nowNanos) {
        mStock.clear();
        mPooled.clear();
        mEpoch++;
        mAccruedNanos = nowNanos;
    }

    /**
     * Adds the units that accrued since the last call for a share of the fleet.
     *
     * @param supplier tells whether another daemon collects the units
     */
    void accrue(final double share, final QuotaSupplier supplier, final long nowNanos) {
        mHasCollector = nowNanos - mPoolUntilNanos < 0 && supplier.hasCollector(mName);
        final long life = mAllowance.lifeNanos();
        long from = Math.max(mAccruedNanos, nowNanos - life);
        mAccruedNanos = nowNanos;
        if (share <= 0 || isUnlimited()) {
            return;
        }
        if (!isPooled(nowNanos)) {
            mStock.addAll(mPooled.takeBeyond(0, 0, nowNanos));
        }
        final UnitStock stock = isPooled(nowNanos) ? mPooled : mStock;
        while (from < nowNanos) {
            final long to = Math.min(nowNanos, from + UnitStock.SLOT_NANOS);
            final double units =
                    mFraction + mAllowance.ratePerSecond() * share * (to - from) / NANOS_PER_SECOND;
            stock.add((long) units, from + life);
            mFraction = units - (long) units;
            from = to;
        }
    }

    /** Adds units of a peer, granted to claims by the collector or unused by another peer. */
    void add(final UnitLot lot, final boolean isGranted, final long nowNanos) {
        if (!isUnlimited()) {
            final UnitStock stock = !isGranted && isPooled(nowNanos) ? mPooled : mStock;
            stock.add(lot.units(), Math.min(lot.expiryNanos(), nowNanos + mAllowance.lifeNanos()));
        }
    }

    long level(final long nowNanos) {
        return mStock.total(nowNanos) + mPooled.total(nowNanos);
    }

    double ratePerSecond() {
        return mAllowance.ratePerSecond();
    }

    /**
     * Takes units if there are enough and no claim waits for them, or if they are negligible beside
     * what other requests need.
     *
     * @param minimumLifeNanos the time for which the units must be usable
     */
    Optional<QuotaPermit> tryTake(
            final long units, final long minimumLifeNanos, final long nowNanos) {
        if (isUnlimited()) {
            return Optional.of(QuotaPermit.UNLIMITED);
        }
        if (units <= NEGLIGIBLE_SHARE * mMeanUnits) {
            return take(isPooled(nowNanos) ? mPooled : mStock, units, minimumLifeNanos, nowNanos);
        }
        return mClaims.isEmpty()
                ? take(mStock, units, minimumLifeNanos, nowNanos)
                : Optional.empty();
    }

    /**
     * Claims units. The listener may be called before this method returns.
     *
     * @param supplier a peer that may have units
     * @param inflowShare the share of the fleet's units that accrues here or is brought here
     */
    void claim(
            final QuotaClaim claim,
            final QuotaSupplier supplier,
            final double inflowShare,
            final long nowNanos) {
        final boolean isPatient = claim.kind().isPatient();
        mMeanUnits += (claim.units() - mMeanUnits) * MEAN_WEIGHT;
        final Optional<QuotaPermit> permit =
                tryTake(claim.units(), claim.kind().minimumLifeNanos(), nowNanos);
        if (permit.isPresent()) {
            claim.listener().onGranted(permit.get(), nowNanos);
            return;
        }
        if (!isPatient && nowNanos - mShortUntilNanos < 0) {
            claim.listener()
                    .onRefused(
                            new ClaimRefusal(
                                    Cause.COLLECTOR_REFUSED_RECENTLY,
                                    TimeUnit.NANOSECONDS.toMillis(mShortUntilNanos - nowNanos)));
            return;
        }
        claim.setNumber(
                supplier.request(
                        mName,
                        claim.units(),
                        new QuotaClaim.Kind(
                                isPatient, claim.kind().minimumLifeNanos() + USEFUL_LIFE_NANOS)));
        final Optional<Cause> refusalCause =
                claim.number() == 0 ? refusalCause(claim, inflowShare) : Optional.empty();
        if (refusalCause.isPresent()) {
            onRefusal(nowNanos);
            refuse(claim, refusalCause.get(), waitMillis(claim.units(), inflowShare, nowNanos));
            return;
        }
        claim.setDeadline(
                nowNanos + (isPatient ? PATIENCE_NANOS : holdNanos(claim.units(), inflowShare)));
        mClaims.add(claim);
    }

    /** Grants claims in order of arrival as long as there are units. */
    void serve(final long nowNanos) {
        while (!mClaims.isEmpty()) {
            final QuotaClaim claim = mClaims.peek();
            if (claim.isCancelled()) {
                mClaims.remove();
                continue;
            }
            final Optional<QuotaPermit> permit =
                    take(mStock, claim.units(), claim.kind().minimumLifeNanos(), nowNanos);
            if (permit.isEmpty()) {
                return;
            }
            mClaims.remove();
            claim.listener().onGranted(permit.get(), nowNanos);
        }
    }

    /** Refuses a claim that a peer refused. */
    void onShortage(final long number, final long waitMillis, final long nowNanos) {
        mShortUntilNanos =
                nowNanos
                        + Math.min(
                                SHORTAGE_NANOS,
                                TimeUnit.MILLISECONDS.toNanos(Math.max(0, waitMillis)));
        for (final QuotaClaim claim : List.copyOf(mClaims)) {
            if (claim.number() == number) {
                mClaims.remove(claim);
                onRefusal(nowNanos);
                refuse(claim, Cause.COLLECTOR_REFUSED, waitMillis);
            }
        }
    }

    /** Refuses the claims that waited too long, and updates the rate of use. */
    void onTimer(final double inflowShare, final long nowNanos) {
        for (final QuotaClaim claim : List.copyOf(mClaims)) {
            if (nowNanos - claim.deadlineNanos() >= 0) {
                mClaims.remove(claim);
                onRefusal(nowNanos);
                refuse(claim, Cause.WAITED, waitMillis(claim.units(), inflowShare, nowNanos));
            }
        }
        final double seconds = (nowNanos - mTickNanos) / NANOS_PER_SECOND;
        if (seconds > 0) {
            final double weight = Math.min(1.0, seconds);
            mUsePerSecond += (mUsedSinceTick / seconds - mUsePerSecond) * weight;
            mUsedSinceTick = 0;
            mTickNanos = nowNanos;
        }
    }

    /** Takes the units that are likely not needed here. */
    List<UnitLot> takeSurplus(final long nowNanos) {
        final double kept = isPooled(nowNanos) ? 0 : mUsePerSecond * KEPT_SECONDS;
        final UnitStock surplus = new UnitStock();
        surplus.addAll(
                mStock.takeBeyond(
                        claimedUnits() + (long) kept, MINIMUM_TRANSFER_LIFE_NANOS, nowNanos));
        surplus.addAll(mPooled.takeBeyond(0, MINIMUM_TRANSFER_LIFE_NANOS, nowNanos));
        return surplus.takeBeyond(0, 0, nowNanos);
    }

    /** Returns whether a permit may be spent now; if so, it is spent. */
    boolean spend(final QuotaPermit permit, final long nowNanos) {
        if (permit.isSpent() || !permit.isValid(mEpoch, nowNanos)) {
            release(permit);
            return false;
        }
        permit.setSpent(true);
        return true;
    }

    boolean isValid(final QuotaPermit permit, final long nowNanos) {
        return !permit.isSpent() && permit.isValid(mEpoch, nowNanos);
    }

    /** Takes back the units of a permit that is not spent. */
    void release(final QuotaPermit permit) {
        if (!permit.isSpent()) {
            permit.setSpent(true);
            if (permit.isValid(mEpoch, Long.MIN_VALUE)) {
                mStock.addAll(permit.lots());
            }
        }
    }

    /**
     * Returns whether units that accrue here are left to the collector. Otherwise requests that are
     * small enough for them would take them as they accrue, and larger ones would get none.
     */
    boolean isPooled(final long nowNanos) {
        return mHasCollector && nowNanos - mPoolUntilNanos < 0;
    }

    /** Uses the units that accrue here again until the next refusal. */
    void endPooling(final long nowNanos) {
        mPoolUntilNanos = nowNanos;
    }

    private void onRefusal(final long nowNanos) {
        mPoolUntilNanos = nowNanos + POOLING_NANOS;
    }

    /** Returns the estimated time until units can be had, in milliseconds. */
    private long waitMillis(final long units, final double inflowShare, final long nowNanos) {
        final double missing = claimedUnits() + units - mStock.total(nowNanos);
        final double millis = inflowSeconds(Math.max(0, missing), inflowShare) * MILLIS_PER_SECOND;
        return (long) Math.min(MAXIMUM_WAIT_MILLIS, millis);
    }

    /** Takes units that don't expire soon, or others if the request is sent by this daemon. */
    private Optional<QuotaPermit> take(
            final UnitStock stock,
            final long units,
            final long minimumLifeNanos,
            final long nowNanos) {
        List<UnitLot> lots =
                stock.take(units, Math.max(USEFUL_LIFE_NANOS, minimumLifeNanos), nowNanos);
        if (lots.isEmpty() && minimumLifeNanos < USEFUL_LIFE_NANOS) {
            lots = stock.take(units, minimumLifeNanos, nowNanos);
        }
        if (lots.isEmpty()) {
            return Optional.empty();
        }
        mUsedSinceTick += units;
        return Optional.of(new QuotaPermit(mName, lots, mEpoch));
    }

    /**
     * Returns why a claim that only this daemon can serve is not likely served soon, empty if it
     * is. The size of the claim does not count, so that large requests are not refused more often
     * than small ones.
     */
    private Optional<Cause> refusalCause(final QuotaClaim claim, final double inflowShare) {
        final double perSecond = mAllowance.ratePerSecond() * inflowShare;
        final double capacity =
                perSecond * mAllowance.lifeNanos() / NANOS_PER_SECOND * MAXIMUM_CLAIM_SHARE;
        if (claim.units() > capacity) {
            return Optional.of(Cause.TOO_LARGE);
        }
        final long queued = mClaims.isEmpty() ? 0 : claimedUnits() - mClaims.peek().units();
        return claim.kind().isPatient()
                        || queued <= perSecond * MAXIMUM_QUEUE_MILLIS / MILLIS_PER_SECOND
                ? Optional.empty()
                : Optional.of(Cause.CLAIMS_BEFORE_IT);
    }

    private long holdNanos(final long units, final double inflowShare) {
        final double nanos =
                MINIMUM_HOLD_NANOS
                        + HOLD_FACTOR * inflowSeconds(units, inflowShare) * NANOS_PER_SECOND;
        return (long) Math.min(MAXIMUM_HOLD_NANOS, nanos);
    }

    /** Returns the time in which units accrue here or are brought here, in seconds. */
    private double inflowSeconds(final double units, final double inflowShare) {
        return units / Math.max(1.0, mAllowance.ratePerSecond() * inflowShare);
    }

    /** Returns the units of the claims that wait. */
    long claimedUnits() {
        long units = 0;
        for (final QuotaClaim claim : mClaims) {
            units += claim.isCancelled() ? 0 : claim.units();
        }
        return units;
    }

    private static void refuse(final QuotaClaim claim, final Cause cause, final long waitMillis) {
        if (!claim.isCancelled()) {
            claim.listener().onRefused(new ClaimRefusal(cause, waitMillis));
        }
    }
}
