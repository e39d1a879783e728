package io.persimmonreel.daemon.upstream;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamSpec;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Polls the load reports of all replicas, round robin. */
public final class LoadPoller implements AutoCloseable {
    /** The interval at which each replica is polled, unless there are too many replicas. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    /** Limits the daemon's control traffic; with more replicas each is polled less often. */
    static final int MAXIMUM_CALLS_PER_INTERVAL = 32;

    /** Receives load reports and failures to read them, on threads of the HTTP client. */
    public interface ReportListener {
        /**
         * Called when a report was read.
         *
         * @param replica the replica
         * @param report the report
         * @param nowNanos the monotonic time at which the report was received
         */
        void onReport(ReplicaSpec replica, ReplicaReport report, long nowNanos);

        /**
         * Called when a report could not be read.
         *
         * @param replica the replica
         * @param failure the failure
         * @param nowNanos the monotonic time of the failure
         */
        void onReportFailure(ReplicaSpec replica, UpstreamException failure, long nowNanos);
    }

    private final ControlClient mClient;
    private final TimeSource mTime;
    private final Supplier<Optional<Configuration>> mConfiguration;
    private final ReportListener mListener;
    private final Set<String> mReplicasInProgress = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mNextIndex = new AtomicInteger();
    private final TimerService.Subscription mSubscription;

    /**
     * Starts polling.
     *
     * @param client reads the reports
     * @param timers the timer service
     * @param time the time source
     * @param configuration supplies the accepted configuration, if there is one
     * @param listener receives the reports
     */
    public LoadPoller(
            final ControlClient client,
            final TimerService timers,
            final TimeSource time,
            final Supplier<Optional<Configuration>> configuration,
            final ReportListener listener) {
        mClient = client;
        mTime = time;
        mConfiguration = configuration;
        mListener = listener;
        mSubscription = timers.every("load-poller", POLL_INTERVAL, now -> poll());
    }

    @Override
    public void close() {
        mSubscription.close();
    }

    private void poll() {
        final List<ReplicaSpec> replicas = new ArrayList<>();
        mConfiguration
                .get()
                .ifPresent(
                        configuration -> {
                            for (final UpstreamSpec upstream : configuration.upstreams().values()) {
                                replicas.addAll(upstream.replicas());
                            }
                        });
        final int calls = Math.min(replicas.size(), MAXIMUM_CALLS_PER_INTERVAL);
        for (int i = 0; i < calls; i++) {
            final int index = Math.floorMod(mNextIndex.getAndIncrement(), replicas.size());
            readReport(replicas.get(index));
        }
    }

    private void readReport(final ReplicaSpec replica) {
        if (!mReplicasInProgress.add(replica.id())) {
            return;
        }
        mClient.readLoadReport(replica)
                .whenComplete(
                        (report, error) -> {
                            mReplicasInProgress.remove(replica.id());
                            final long now = mTime.monotonicNanos();
                            if (error != null) {
                                mListener.onReportFailure(
                                        replica,
                                        UpstreamHttpClient.classify(
                                                Step.ROUTE, replica.id(), null, error),
                                        now);
                            } else if (replica.id().equals(report.replica())) {
                                mListener.onReport(replica, report, now);
                            }
                        });
    }
}
