package io.persimmonreel.core.warmup;

import io.persimmonreel.core.quota.FleetShare;
import io.persimmonreel.core.ratelimit.RateShares;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the names of all daemons, which the choice of those that may send to a cold replica needs.
 *
 * <p>A leaf hears only of the daemons that its hubs are connected with, so hubs list all names to
 * their leaves. Names are kept as long as {@link FleetShare} counts a silent daemon. Daemons that
 * are counted and not known by name are assumed to come first, so a leaf that lacks names sends
 * less. Not thread safe.
 */
public final class FleetNames {
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<String, Long> mListedNanos = new HashMap<>();
    private RateShares mShares = RateShares.whole();
    private Set<String> mSharesNames = Set.of();
    private int mSharesSize;

    /**
     * Adds the names that a hub lists.
     *
     * @param names the names
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onListed(final Collection<String> names, final long nowNanos) {
        names.forEach(name -> mListedNanos.put(name, nowNanos));
    }

    /**
     * Divides the rates of cold replicas by what this daemon knows of the fleet now.
     *
     * @param self the daemon's name
     * @param fleet the daemon's knowledge of the fleet
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the shares
     */
    public WarmUpShares shares(final String self, final FleetShare fleet, final long nowNanos) {
        mListedNanos.values().removeIf(listed -> nowNanos - listed > LIFETIME_NANOS);
        final Set<String> names = new HashSet<>(fleet.members());
        names.addAll(mListedNanos.keySet());
        if (fleet.size() != mSharesSize || !names.equals(mSharesNames)) {
            mShares = RateShares.of(self, names, fleet.size());
            mSharesNames = names;
            mSharesSize = fleet.size();
        }
        return new WarmUpShares(mShares, fleet.groupShare(nowNanos));
    }
}
