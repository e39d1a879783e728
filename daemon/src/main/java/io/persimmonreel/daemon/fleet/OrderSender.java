package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.order.EngineOrder;
import io.persimmonreel.core.order.OrderPlanner;
import io.persimmonreel.core.order.ReportedModel;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.request.AvailabilityScheduler;
import io.persimmonreel.daemon.upstream.ControlClient;
import io.persimmonreel.daemon.upstream.EngineOrderRequest;
import io.persimmonreel.daemon.upstream.ReplicaReport;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Sends the planned model orders to engines and withholds new work from engines that do not serve
 * the desired model.
 */
public final class OrderSender {
    private static final Logger LOG = System.getLogger(OrderSender.class.getName());

    private final OrderPlanner mPlanner;
    private final ConfigurationState mState;
    private final ControlClient mControl;
    private final AvailabilityScheduler mScheduler;
    private final TimeSource mTime;
    private final AtomicReference<Set<String>> mWithheldReplicas = new AtomicReference<>(Set.of());

    /**
     * Creates a sender.
     *
     * @param planner plans the orders
     * @param state the accepted configuration
     * @param control sends orders to engines
     * @param scheduler withholds work from engines that do not serve the desired model
     * @param time the monotonic clock
     */
    public OrderSender(
            final OrderPlanner planner,
            final ConfigurationState state,
            final ControlClient control,
            final AvailabilityScheduler scheduler,
            final TimeSource time) {
        mPlanner = planner;
        mState = state;
        mControl = control;
        mScheduler = scheduler;
        mTime = time;
    }

    /**
     * Handles a report of a replica: sends the next order, if any, and updates the withheld
     * replicas.
     *
     * @param report the report
     */
    public void onReport(final ReplicaReport report) {
        final ReportedModel model =
                new ReportedModel(
                        report.replica(),
                        Objects.requireNonNullElse(report.model(), ""),
                        Objects.requireNonNullElse(report.modelVersion(), ""),
                        report.fence());
        mPlanner.onReport(model).ifPresent(this::send);
        final Set<String> withheld = mPlanner.heldReplicas();
        if (!withheld.equals(mWithheldReplicas.getAndSet(withheld))) {
            mScheduler.withholdWork(withheld, mTime.monotonicNanos());
        }
    }

    private void send(final EngineOrder order) {
        final Optional<ReplicaSpec> replica = findEngine(order.replica());
        if (replica.isEmpty()) {
            mPlanner.orderFailed(order);
            return;
        }
        mControl.sendOrder(
                        replica.get(),
                        new EngineOrderRequest(
                                order.kind(), order.model(), order.modelVersion(), order.fence()))
                .whenComplete((accepted, error) -> onOrderResult(order, accepted, error));
    }

    private void onOrderResult(
            final EngineOrder order, final Boolean accepted, final Throwable error) {
        if (error != null) {
            LOG.log(
                    Level.WARNING,
                    "order: "
                            + order.replica()
                            + " did not confirm the order. "
                            + error.getMessage());
            mPlanner.orderFailed(order);
        } else if (!accepted) {
            // The engine has seen a higher fencing number; this daemon's configuration is outdated.
            LOG.log(
                    Level.WARNING,
                    "order: "
                            + order.replica()
                            + " rejected the outdated fencing number "
                            + order.fence());
        }
    }

    private Optional<ReplicaSpec> findEngine(final String id) {
        final Optional<Configuration> configuration = mState.accepted();
        return configuration.stream()
                .flatMap(accepted -> accepted.upstreams().values().stream())
                .filter(upstream -> upstream.kind() == UpstreamKind.ENGINE)
                .map(UpstreamSpec::replicas)
                .flatMap(replicas -> replicas.stream())
                .filter(replica -> replica.id().equals(id))
                .findFirst();
    }
}
