package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a customer's request is within its quota, from own use and what peers report.
 *
 * <p>It answers the load of one customer that sends many times its usual through all daemons. Calls
 * are serialized.
 */
public final class FleetQuota {
    /** Part of the tolerance that is used, so that late reports do not exceed it. */
    private static final double TOLERANCE_SHARE = 0.5;

    private final Map<String, CustomerAllowance> mAllowances = new HashMap<>();
    private final QuotaTolerance mTolerance;
    private double mHeardShare = 1.0;

    /** Creates a quota that is kept to the unit. */
    public FleetQuota() {
        this(new QuotaTolerance(0, 0));
    }

    /**
     * Creates a quota that errs on the side of serving.
     *
     * @param tolerance what the operator tolerates beyond the quota
     */
    public FleetQuota(final QuotaTolerance tolerance) {
        mTolerance = tolerance;
    }

    /**
     * Takes the quotas of a configuration. Customers that are gone are forgotten.
     *
     * @param customers the customers
     * @param nowNanos the present monotonic time in nanoseconds
     */
    public synchronized void configure(
            final Collection<RelayCustomer> customers, final long nowNanos) {
        final Set<String> names = new HashSet<>();
        for (final RelayCustomer customer : customers) {
            names.add(customer.name());
            final CustomerAllowance known = mAllowances.get(customer.name());
            final double rate = mTolerance.rate(customer, TOLERANCE_SHARE);
            final double burst = mTolerance.burst(customer, TOLERANCE_SHARE);
            if (known == null) {
                mAllowances.put(customer.name(), new CustomerAllowance(rate, burst, nowNanos));
            } else {
                known.configure(rate, burst);
            }
        }
        mAllowances.keySet().retainAll(names);
    }

    /**
     * Sets which part of the fleet is heard of.
     *
     * @param heard the daemons heard of late, this one included
     * @param known all daemons that are assumed to run, at least 1
     */
    public synchronized void onMembers(final int heard, final int known) {
        mHeardShare = Math.min(1.0, (double) Math.max(1, heard) / Math.max(1, known));
    }

    /**
     * Uses units if the quota allows it.
     *
     * @param customer the customer
     * @param units the units of the request
     * @param nowNanos the present monotonic time in nanoseconds
     * @return true if the request is within the quota
     */
    public synchronized boolean use(
            final RelayCustomer customer, final long units, final long nowNanos) {
        final CustomerAllowance allowance = mAllowances.get(customer.name());
        return allowance == null || allowance.use(units, mHeardShare, nowNanos);
    }

    /**
     * Gives back the units of a request that did not run.
     *
     * @param customer the customer's name
     * @param units the units that were used
     */
    public synchronized void giveBack(final String customer, final long units) {
        final CustomerAllowance allowance = mAllowances.get(customer);
        if (allowance != null) {
            allowance.giveBack(units);
        }
    }

    /**
     * Tells when a refused customer may try again.
     *
     * @param customer the customer
     * @return milliseconds until its quota allows a request
     */
    public synchronized long millisUntilAvailable(final RelayCustomer customer) {
        final CustomerAllowance allowance = mAllowances.get(customer.name());
        return allowance == null ? 0 : allowance.millisUntilAvailable(mHeardShare);
    }

    /**
     * Returns what this daemon used since the last call, to be reported to peers.
     *
     * @return units by customer, without customers that used none
     */
    public synchronized Map<String, Long> takeUnreported() {
        final Map<String, Long> use = new HashMap<>();
        mAllowances.forEach(
                (name, allowance) -> {
                    final long units = allowance.takeUnreported();
                    if (units != 0) {
                        use.put(name, units);
                    }
                });
        return use;
    }

    /**
     * Takes what other daemons used.
     *
     * @param use units by customer since the last report
     */
    public synchronized void onPeerUse(final Map<String, Long> use) {
        use.forEach(
                (name, units) -> {
                    final CustomerAllowance allowance = mAllowances.get(name);
                    if (allowance != null) {
                        allowance.onPeerUse(units);
                    }
                });
    }

    /**
     * Returns the levels of all customers, for a daemon that starts.
     *
     * @return the units that are left by customer, negative for a debt
     */
    public synchronized Map<String, Long> levels() {
        final Map<String, Long> levels = new HashMap<>();
        mAllowances.forEach((name, allowance) -> levels.put(name, (long) allowance.level()));
        return levels;
    }

    /**
     * Takes the levels of a daemon that has run for longer, so that a restart does not fill them.
     *
     * @param levels the units that are left by customer
     */
    public synchronized void onLevels(final Map<String, Long> levels) {
        levels.forEach(
                (name, level) -> {
                    final CustomerAllowance allowance = mAllowances.get(name);
                    if (allowance != null) {
                        allowance.lowerTo(level);
                    }
                });
    }
}
