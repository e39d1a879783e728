package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps requests within the quotas of their customers, across the fleet.
 *
 * <p>The units of a quota accrue at all daemons, at each with its share of the fleet, and expire
 * unless they are spent soon. A request is sent only with unspent units. Units move between
 * daemons, but every unit is spent once at most, whatever is lost on the way or restarts; so the
 * fleet stays within the quota and the operator's tolerance. Not thread safe.
 */
public final class FleetQuota {
    private final Map<String, CustomerQuota> mQuotas = new HashMap<>();
    private final QuotaTolerance mTolerance;
    private Collection<RelayCustomer> mCustomers = List.of();
    private QuotaSupplier mSupplier = QuotaSupplier.NONE;
    private QuotaLife mLife;
    private double mShare = 1.0;
    private double mInflowShare = 1.0;

    /**
     * Creates quotas of a daemon that is alone.
     *
     * @param tolerance the excess over the quotas that the operator tolerates
     * @param life the time after which unspent units expire
     */
    public FleetQuota(final QuotaTolerance tolerance, final QuotaLife life) {
        mTolerance = tolerance;
        mLife = life;
    }

    /**
     * Sets the quotas of a configuration and forgets customers that are not in it.
     *
     * @param customers all customers
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void configure(final Collection<RelayCustomer> customers, final long nowNanos) {
        mCustomers = List.copyOf(customers);
        final Set<String> names = new HashSet<>();
        for (final RelayCustomer customer : customers) {
            names.add(customer.name());
            final Allowance allowance = mTolerance.allowance(customer, mLife);
            final CustomerQuota existing = mQuotas.get(customer.name());
            if (existing == null) {
                mQuotas.put(
                        customer.name(), new CustomerQuota(customer.name(), allowance, nowNanos));
            } else {
                existing.accrue(mShare, mSupplier, nowNanos);
                existing.configure(allowance, nowNanos);
            }
        }
        mQuotas.keySet().retainAll(names);
    }

    /**
     * Raises the life of units. A life is never shortened, since units with the longer life may
     * have been given to peers.
     *
     * @param life the time after which unspent units expire
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void extendLife(final QuotaLife life, final long nowNanos) {
        if (life.maximum().compareTo(mLife.maximum()) > 0) {
            mLife = life;
            configure(mCustomers, nowNanos);
        }
    }

    /**
     * Sets the share of the fleet's units that accrues at this daemon.
     *
     * @param share the share, from 0 to 1; the shares of all daemons that run add up to 1 at most
     * @param inflowShare the share that accrues at the daemons that this one is connected with
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onShare(final double share, final double inflowShare, final long nowNanos) {
        if (share != mShare) {
            mQuotas.values().forEach(quota -> quota.accrue(mShare, mSupplier, nowNanos));
        }
        mShare = share;
        mInflowShare = Math.max(share, inflowShare);
    }

    /**
     * Drops all units, since this daemon can't tell their age any more.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void clear(final long nowNanos) {
        mQuotas.values().forEach(quota -> quota.clear(nowNanos));
    }

    /**
     * Takes units for a request.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a permit, empty if there are too few units here
     */
    public Optional<QuotaPermit> tryTake(
            final RelayCustomer customer, final long units, final long nowNanos) {
        final CustomerQuota quota = mQuotas.get(customer.name());
        if (quota == null) {
            return Optional.of(QuotaPermit.UNLIMITED);
        }
        quota.accrue(mShare, mSupplier, nowNanos);
        return quota.tryTake(units, 0, nowNanos);
    }

    /**
     * Returns the units that a request has to claim.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param room whether the replicas have room for requests beyond the quota
     * @return the units, more than those of the request if there is no room
     */
    public long unitsToClaim(final RelayCustomer customer, final long units, final boolean room) {
        final CustomerQuota quota = mQuotas.get(customer.name());
        return room || quota == null
                ? units
                : mTolerance.unitsWithoutRoom(customer, units, quota.ratePerSecond());
    }

    /**
     * Claims units for a request from this daemon and its peers.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param patient whether the claim waits however many are before it; otherwise it is refused if
     *     it is not granted soon
     * @param listener receives the outcome, possibly before this method returns
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the claim
     */
    public QuotaClaim claim(
            final RelayCustomer customer,
            final long units,
            final boolean patient,
            final QuotaClaim.Listener listener,
            final long nowNanos) {
        final QuotaClaim claim = new QuotaClaim(units, new QuotaClaim.Kind(patient, 0), listener);
        claim(customer.name(), claim, mSupplier, nowNanos);
        return claim;
    }

    /**
     * Returns whether a permit may be spent. If so, it counts as spent from now on and the request
     * must be sent at once; else the permit is void.
     *
     * @param permit the permit of the request
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if the request may be sent
     */
    public boolean spend(final QuotaPermit permit, final long nowNanos) {
        if (permit.isUnlimited()) {
            return true;
        }
        final CustomerQuota quota = mQuotas.get(permit.customer());
        return quota != null && quota.spend(permit, nowNanos);
    }

    /**
     * Returns whether a permit could be spent now.
     *
     * @param permit the permit of the request
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false if it is spent or has expired
     */
    public boolean isValid(final QuotaPermit permit, final long nowNanos) {
        final CustomerQuota quota = mQuotas.get(permit.customer());
        return permit.isUnlimited() || quota != null && quota.isValid(permit, nowNanos);
    }

    /**
     * Restores a spent permit, since the replica did not run the request.
     *
     * @param permit the permit of the request
     */
    public void restore(final QuotaPermit permit) {
        permit.setSpent(false);
    }

    /**
     * Takes back a permit, unless it is spent.
     *
     * @param permit the permit of a request that has ended
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void release(final QuotaPermit permit, final long nowNanos) {
        final CustomerQuota quota = mQuotas.get(permit.customer());
        if (quota != null) {
            quota.release(permit);
            quota.serve(nowNanos);
        }
    }

    /**
     * Grants claims as units accrue, and refuses those that waited too long.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        for (final CustomerQuota quota : List.copyOf(mQuotas.values())) {
            quota.accrue(mShare, mSupplier, nowNanos);
            quota.serve(nowNanos);
            quota.onTimer(mInflowShare, nowNanos);
        }
    }

    /**
     * Returns the state of a customer's quota, to explain a refusal.
     *
     * @param customer the customer
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the state, empty if the customer is unknown
     */
    public Optional<QuotaState> state(final RelayCustomer customer, final long nowNanos) {
        return Optional.ofNullable(mQuotas.get(customer.name()))
                .map(
                        quota ->
                                new QuotaState(
                                        quota.ratePerSecond(),
                                        quota.level(nowNanos),
                                        quota.claimedUnits(),
                                        mShare,
                                        mInflowShare));
    }

    void setSupplier(final QuotaSupplier supplier) {
        mSupplier = supplier;
    }

    void claim(
            final String customer,
            final QuotaClaim claim,
            final QuotaSupplier supplier,
            final long nowNanos) {
        final CustomerQuota quota = mQuotas.get(customer);
        if (quota == null) {
            claim.listener().onGranted(QuotaPermit.UNLIMITED, nowNanos);
            return;
        }
        quota.accrue(mShare, mSupplier, nowNanos);
        quota.claim(claim, supplier, mInflowShare, nowNanos);
    }

    /** Adds units of a peer, granted to claims by the collector or unused by another peer. */
    void onUnits(
            final String customer,
            final List<UnitLot> lots,
            final boolean areGranted,
            final long nowNanos) {
        final CustomerQuota quota = mQuotas.get(customer);
        if (quota != null) {
            for (final UnitLot lot : lots) {
                quota.add(lot, areGranted, nowNanos);
                quota.serve(nowNanos);
            }
        }
    }

    void onShortage(
            final String customer, final long number, final long waitMillis, final long nowNanos) {
        final CustomerQuota quota = mQuotas.get(customer);
        if (quota != null) {
            quota.onShortage(number, waitMillis, nowNanos);
        }
    }

    /** Returns the customers with a quota. */
    List<CustomerQuota> limited() {
        return mQuotas.values().stream().filter(quota -> !quota.isUnlimited()).toList();
    }
}
