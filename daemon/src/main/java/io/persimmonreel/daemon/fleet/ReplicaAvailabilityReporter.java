package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.core.schedule.Scheduler;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamSpec;
import io.persimmonreel.daemon.platform.HostEntry;
import io.persimmonreel.daemon.platform.HostList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells the scheduler which replicas are leaving by the host list.
 *
 * <p>A replica that the list leaves out stays as it is, since the list may leave out a live host;
 * connections decide then. Not thread safe.
 */
final class UpstreamHosts {
    private final Scheduler mScheduler;
    private final Map<String, ReplicaAvailability> mReported = new HashMap<>();
    private HostList mHosts = new HostList(0, List.of());
    private Map<String, String> mReplicaByAddress = Map.of();

    UpstreamHosts(final Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Applies a configuration.
     *
     * @param configuration the configuration
     * @param nowNanos the present time
     */
    void configure(final Configuration configuration, final long nowNanos) {
        final Map<String, String> replicas = new HashMap<>();
        for (final UpstreamSpec upstream : configuration.upstreams().values()) {
            for (final ReplicaSpec replica : upstream.replicas()) {
                replicas.put(replica.address(), replica.id());
            }
        }
        mReplicaByAddress = replicas;
        mReported.keySet().retainAll(replicas.values());
        apply(nowNanos);
    }

    /**
     * Applies a host list.
     *
     * @param hosts the list
     * @param nowNanos the present time
     */
    void listed(final HostList hosts, final long nowNanos) {
        mHosts = hosts;
        apply(nowNanos);
    }

    private void apply(final long nowNanos) {
        for (final HostEntry host : mHosts.hosts()) {
            final String replica = mReplicaByAddress.get(host.address());
            if (replica != null) {
                report(replica, host.leaving(), nowNanos);
            }
        }
    }

    private void report(final String replica, final boolean leaving, final long nowNanos) {
        final ReplicaAvailability availability =
                leaving ? ReplicaAvailability.LEAVING : ReplicaAvailability.LIVE;
        if (mReported.put(replica, availability) != availability) {
            mScheduler.onAvailability(replica, availability, nowNanos);
        }
    }
}
