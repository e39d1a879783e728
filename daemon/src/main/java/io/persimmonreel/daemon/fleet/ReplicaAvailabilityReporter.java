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
 * Reports to the scheduler which replicas the host list shows as leaving or live.
 *
 * <p>Nothing is reported for a replica missing from the list, since the list may omit a live host;
 * the result of connections decides then. Instances are not thread safe.
 */
final class ReplicaAvailabilityReporter {
    private final Scheduler mScheduler;
    private final Map<String, ReplicaAvailability> mLastReported = new HashMap<>();
    private HostList mHostList = new HostList(0, List.of());
    private Map<String, String> mReplicaIdByAddress = Map.of();

    ReplicaAvailabilityReporter(final Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Applies a configuration.
     *
     * @param configuration the configuration
     * @param nowNanos the present monotonic time
     */
    void configure(final Configuration configuration, final long nowNanos) {
        final Map<String, String> replicas = new HashMap<>();
        for (final UpstreamSpec upstream : configuration.upstreams().values()) {
            for (final ReplicaSpec replica : upstream.replicas()) {
                replicas.put(replica.address(), replica.id());
            }
        }
        mReplicaIdByAddress = replicas;
        mLastReported.keySet().retainAll(replicas.values());
        reportListed(nowNanos);
    }

    /**
     * Applies a host list.
     *
     * @param hosts the host list
     * @param nowNanos the present monotonic time
     */
    void updateHosts(final HostList hosts, final long nowNanos) {
        mHostList = hosts;
        reportListed(nowNanos);
    }

    private void reportListed(final long nowNanos) {
        for (final HostEntry host : mHostList.hosts()) {
            final String replica = mReplicaIdByAddress.get(host.address());
            if (replica != null) {
                report(replica, host.leaving(), nowNanos);
            }
        }
    }

    private void report(final String replica, final boolean leaving, final long nowNanos) {
        final ReplicaAvailability availability =
                leaving ? ReplicaAvailability.LEAVING : ReplicaAvailability.LIVE;
        if (mLastReported.put(replica, availability) != availability) {
            mScheduler.onAvailability(replica, availability, nowNanos);
        }
    }
}
