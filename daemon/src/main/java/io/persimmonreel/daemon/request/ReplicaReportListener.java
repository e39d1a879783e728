package io.persimmonreel.daemon.request;

import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.core.schedule.Scheduler;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.daemon.upstream.LoadPoller;
import io.persimmonreel.daemon.upstream.ReplicaReport;
import io.persimmonreel.daemon.upstream.UpstreamException;
import io.persimmonreel.daemon.upstream.UpstreamFault;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Passes load reports to the scheduler and marks replicas that refuse connections as down. */
public final class ReplicaReportListener implements LoadPoller.ReportListener {
    private static final Logger LOG = System.getLogger(ReplicaReportListener.class.getName());

    private final Scheduler mScheduler;
    private final Consumer<ReplicaReport> mReportConsumer;
    private final Set<String> mRefusingReplicas = ConcurrentHashMap.newKeySet();

    /**
     * Creates a listener.
     *
     * @param scheduler receives load reports and availability; a load report must end {@link
     *     ReplicaAvailability#DOWN}, as in {@link AvailabilityScheduler}
     * @param reports receives whole reports, for model orders and fencing
     */
    public ReplicaReportListener(final Scheduler scheduler, final Consumer<ReplicaReport> reports) {
        mScheduler = scheduler;
        mReportConsumer = reports;
    }

    @Override
    public void onReport(
            final ReplicaSpec replica, final ReplicaReport report, final long nowNanos) {
        if (mRefusingReplicas.remove(replica.id())) {
            LOG.log(Level.INFO, "upstream: " + replica.id() + " is reachable again");
        }
        mScheduler.onLoadReport(report.loadReport(), nowNanos);
        mReportConsumer.accept(report);
    }

    @Override
    public void onReportFailure(
            final ReplicaSpec replica, final UpstreamException failure, final long nowNanos) {
        // A late report only means older load figures; a refused connection means the process is
        // gone.
        if (failure.fault() == UpstreamFault.NOT_SENT) {
            if (mRefusingReplicas.add(replica.id())) {
                LOG.log(Level.WARNING, "upstream: " + failure.getMessage());
            }
            mScheduler.onAvailability(replica.id(), ReplicaAvailability.DOWN, nowNanos);
        }
    }
}
