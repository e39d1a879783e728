package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether requests are within the quotas of their customers, from the use through this
 * daemon and the use that peers report.
 *
 * <p>Handles a customer that sends many times its usual load through all daemons, and one whose
 * quota was lowered while the replicas have room: it may use a part of the operator's tolerance.
 * Thread safe.
 */
public final class FleetQuota {
    /** Fraction of the tolerance that is granted; the rest is for use that peers report late. */
    private static final double TOLERANCE_SHARE = 0.5;

    /** Fraction of the tolerance that is granted while the replicas have room. */
    private static final double TOLERANCE_SHARE_WITH_ROOM = 0.75;

    private final Map<String, CustomerBucket> mBuckets = new HashMap<>();
    private final QuotaTolerance mTolerance;
    private double mReachableShare = 1.0;
    private int mDaemons = 1;

    /** Creates quotas without tolerance. */
    public FleetQuota() {
        this(QuotaTolerance.NONE);
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
            final CustomerBucket.Limit limit =
                    new CustomerBucket.Limit(
                            mTolerance.rate(customer, TOLERANCE_SHARE),
                            mTolerance.burst(customer, TOLERANCE_SHARE),
                            mTolerance.unitsInWindow(customer, 0),
                            mTolerance.unitsInWindow(customer, TOLERANCE_SHARE_WITH_ROOM));
            if (existing == null) {
                mBuckets.put(
                        customer.name(),
                        new CustomerBucket(limit, mTolerance.window().toNanos(), nowNanos));
            } else {
                existing.configure(limit);
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
        mDaemons = Math.max(1, known);
        mReachableShare = Math.min(1.0, (double) Math.max(1, reachable) / mDaemons);
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
        return bucket == null || bucket.tryUse(units, mReachableShare, mDaemons, nowNanos);
    }

    /**
     * Uses units beyond a customer's quota if the operator tolerates them. To be called only while
     * the replicas have room. Daemons that do not hear from the whole fleet grant nothing.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if the use is tolerated
     */
    public synchronized boolean tryUseTolerated(
            final RelayCustomer customer, final long units, final long nowNanos) {
        final CustomerBucket bucket = mBuckets.get(customer.name());
        return bucket != null
                && mReachableShare >= 1.0
                && bucket.tryUseTolerated(units, mDaemons, nowNanos);
    }

    /**
     * Gives the units of a request that did not run back to the customer's quota.
     *
     * @param customer the customer's name
     * @param units the units that the request used
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public synchronized void refund(final String customer, final long units, final long nowNanos) {
        final CustomerBucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.refund(units, nowNanos);
        }
    }

    /**
     * Returns when a refused customer may retry.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param room whether the replicas have room for requests beyond the quota
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds until its quota allows the request
     */
    public synchronized long millisUntilAvailable(
            final RelayCustomer customer,
            final long units,
            final boolean room,
            final long nowNanos) {
        final CustomerBucket bucket = mBuckets.get(customer.name());
        return bucket == null
                ? 0
                : bucket.millisUntilAvailable(units, room, mReachableShare, nowNanos);
    }

    /**
     * Returns the state of a customer's quota, to explain a refusal.
     *
     * @param customer the customer
     * @return the state, empty if the customer is unknown
     */
    public synchronized Optional<QuotaState> state(final RelayCustomer customer) {
        return Optional.ofNullable(mBuckets.get(customer.name()))
                .map(bucket -> bucket.state(mReachableShare));
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
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public synchronized void onPeerUse(final Map<String, Long> use, final long nowNanos) {
        use.forEach(
                (name, units) -> {
                    final CustomerBucket bucket = mBuckets.get(name);
                    if (bucket != null) {
                        bucket.onPeerUse(units, nowNanos);
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
