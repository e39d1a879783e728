package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether requests are within the quotas of their customers, from the use through this
 * daemon and the use that peers report.
 *
 * <p>Handles a customer that sends many times its usual load through all daemons. Thread safe.
 */
public final class FleetQuota {
    /** Fraction of the tolerance that is granted; the rest is for use that peers report late. */
    private static final double TOLERANCE_SHARE = 0.5;

    private final Map<String, CustomerBucket> mBuckets = new HashMap<>();
    private final QuotaTolerance mTolerance;
    private double mReachableShare = 1.0;

    /** Creates quotas without tolerance. */
    public FleetQuota() {
        this(new QuotaTolerance(0, 0));
    }

    /**
     * Creates quotas that customers may exceed by a part of the tolerance.
     *
     * @param tolerance the excess over the quota that the operator tolerates
     */
    public FleetQuota(final QuotaTolerance tolerance) {
        mTolerance = tolerance;
    }

    /**
     * Sets the quotas of a configuration and forgets customers that are not in it.
     *
     * @param customers all customers
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public synchronized void configure(
            final Collection<RelayCustomer> customers, final long nowNanos) {
        final Set<String> names = new HashSet<>();
        for (final RelayCustomer customer : customers) {
            names.add(customer.name());
            final CustomerBucket existing = mBuckets.get(customer.name());
            final double rate = mTolerance.rate(customer, TOLERANCE_SHARE);
            final double burst = mTolerance.burst(customer, TOLERANCE_SHARE);
            if (existing == null) {
                mBuckets.put(customer.name(), new CustomerBucket(rate, burst, nowNanos));
            } else {
                existing.configure(rate, burst);
            }
        }
        mBuckets.keySet().retainAll(names);
    }

    /**
     * Sets the share of the fleet that this daemon hears from.
     *
     * @param reachable the number of daemons heard from recently, this one included
     * @param known the number of daemons that are assumed to run, at least 1
     */
    public synchronized void onMembers(final int reachable, final int known) {
        mReachableShare = Math.min(1.0, (double) Math.max(1, reachable) / Math.max(1, known));
    }

    /**
     * Uses units of a customer's quota if units are left.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if the request is within the quota
     */
    public synchronized boolean tryUse(
            final RelayCustomer customer, final long units, final long nowNanos) {
        final CustomerBucket bucket = mBuckets.get(customer.name());
        return bucket == null || bucket.tryUse(units, mReachableShare, nowNanos);
    }

    /**
     * Gives the units of a request that did not run back to the customer's quota.
     *
     * @param customer the customer's name
     * @param units the units that the request used
     */
    public synchronized void refund(final String customer, final long units) {
        final CustomerBucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.refund(units);
        }
    }

    /**
     * Returns when a refused customer may retry.
     *
     * @param customer the customer
     * @return the time in milliseconds until its quota allows a request
     */
    public synchronized long millisUntilAvailable(final RelayCustomer customer) {
        final CustomerBucket bucket = mBuckets.get(customer.name());
        return bucket == null ? 0 : bucket.millisUntilAvailable(mReachableShare);
    }

    /**
     * Returns the use through this daemon since the last call, to be reported to peers.
     *
     * @return the units by customer, without customers that used none
     */
    public synchronized Map<String, Long> takeUnreported() {
        final Map<String, Long> use = new HashMap<>();
        mBuckets.forEach(
                (name, bucket) -> {
                    final long units = bucket.takeUnreported();
                    if (units != 0) {
                        use.put(name, units);
                    }
                });
        return use;
    }

    /**
     * Subtracts the use that a peer reports.
     *
     * @param use the units by customer since the peer's last report
     */
    public synchronized void onPeerUse(final Map<String, Long> use) {
        use.forEach(
                (name, units) -> {
                    final CustomerBucket bucket = mBuckets.get(name);
                    if (bucket != null) {
                        bucket.onPeerUse(units);
                    }
                });
    }

    /**
     * Returns the levels of all token buckets, for a daemon that starts.
     *
     * @return the units that are left by customer, negative for a debt
     */
    public synchronized Map<String, Long> levels() {
        final Map<String, Long> levels = new HashMap<>();
        mBuckets.forEach((name, bucket) -> levels.put(name, (long) bucket.level()));
        return levels;
    }

    /**
     * Lowers the token buckets to the levels of a daemon that has run for longer, so that a restart
     * does not fill them.
     *
     * @param levels the units that are left by customer
     */
    public synchronized void onLevels(final Map<String, Long> levels) {
        levels.forEach(
                (name, level) -> {
                    final CustomerBucket bucket = mBuckets.get(name);
                    if (bucket != null) {
                        bucket.lowerTo(level);
                    }
                });
    }
}
