package io.persimmonreel.core.order;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.time.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Decides which load orders this daemon sends to engines, and which replicas serve during a
 * rollout. An order is sent only in response to a fresh report of the replica, so the replica's
 * fencing token is always read first. Members take turns as senders. During a change of members
 * several daemons may send the same order, which is harmless since orders are idempotent. Instances
 * are thread safe.
 */
public final class OrderPlanner {
    /**
     * The wait before an order is first repeated; the replica may still be loading, or may have
     * lost the order. The wait doubles with each repeat, so that an engine that starts over on
     * every order still finishes a long load.
     */
    static final long REPEAT_NANOS = 60_000_000_000L;

    private static final int MAXIMUM_REPEAT_DOUBLINGS = 4;

    private final TimeSource mTime;
    private final ConfigurationState mState;
    private final DecisionLog mDecisions;
    private final LoadRateLimiter mRateLimiter;
    private final Object mLock = new Object();
    private final Map<String, UpstreamRollout> mRollouts = new HashMap<>();
    private final Map<String, Set<String>> mHeldByUpstream = new HashMap<>();
    private final Map<String, String> mUpstreamByReplica = new HashMap<>();
    private final Map<String, ReportedModel> mReports = new ConcurrentHashMap<>();
    private DesiredState mDesired = DesiredState.NONE;
    private volatile Set<String> mHeld = Set.of();

    /**
     * Creates a planner whose daemon is the only member.
     *
     * @param self this daemon
     * @param time the clocks
     * @param state the configuration of this daemon
     * @param log receives the decisions to send an order
     */
    public OrderPlanner(
            final Incarnation self,
            final TimeSource time,
            final ConfigurationState state,
            final DecisionLog log) {
        mTime = time;
        mState = state;
        mDecisions = log;
        mRateLimiter = new LoadRateLimiter(self, time);
    }

    /**
     * Sets the members that take turns as senders and share the load rate of the weight store.
     *
     * @param live the live members, with or without this daemon
     * @param unconfirmedMembers the number of silent members that are still listed as live; they
     *     may send orders on the other side of a network partition, so their share stays reserved
     */
    public void updateMembers(final Collection<Incarnation> live, final int unconfirmedMembers) {
        mRateLimiter.updateMembers(live, unconfirmedMembers);
    }

    /**
     * Handles a fresh report of a replica.
     *
     * @param report the report
     * @return the order to send to the replica now, or empty
     */
    public Optional<EngineOrder> onReport(final ReportedModel report) {
        mState.noteFence(report.fence());
        final Optional<EngineOrder> order;
        synchronized (mLock) {
            applyAcceptedConfiguration();
            order = mDesired.order(report.replica());
            if (order.isEmpty()) {
                return Optional.empty();
            }
            mReports.put(report.replica(), report);
            final UpstreamRollout rollout = rolloutOf(report.replica());
            final long now = mTime.monotonicNanos();
            rollout.onReport(report, now);
            final boolean send = shouldSend(rollout, report, now);
            if (send) {
                rollout.markSent(report.replica(), now);
            }
            updateHeld(mUpstreamByReplica.get(report.replica()), now);
            if (!send) {
                return Optional.empty();
            }
        }
        record(order.get(), report);
        return order;
    }

    private boolean shouldSend(
            final UpstreamRollout rollout, final ReportedModel report, final long nowNanos) {
        // A higher fence shows that this daemon's configuration is stale.
        return !rollout.isMetBy(report)
                && report.fence() <= mDesired.version()
                && rollout.isDue(report.replica(), REPEAT_NANOS, MAXIMUM_REPEAT_DOUBLINGS, nowNanos)
                && mRateLimiter.tryAcquire(mDesired.loadsPerMinute(), mDesired.clockSkew());
    }

    /**
     * Handles an order that was refused or not delivered; the next report may lead to a new one.
     *
     * @param order the order
     */
    public void orderFailed(final EngineOrder order) {
        synchronized (mLock) {
            applyAcceptedConfiguration();
            if (mUpstreamByReplica.containsKey(order.replica())) {
                rolloutOf(order.replica()).forgetSent(order.replica());
            }
        }
    }

    /**
     * Tells whether the model of a replica allows it to get new requests.
     *
     * @param replica the replica's id
     * @return true if it last reported the desired model or, during a rollout, a formerly desired
     *     one; true if there is no report yet
     */
    public boolean mayServe(final String replica) {
        return !heldReplicas().contains(replica);
    }

    /**
     * Returns the replicas that get no new requests because of their model.
     *
     * @return the ids of the replicas
     */
    public Set<String> heldReplicas() {
        if (mState.version() > 0) {
            synchronized (mLock) {
                applyAcceptedConfiguration();
            }
        }
        return mHeld;
    }

    /**
     * Returns the model that a replica serves; during a rollout it may be a formerly desired one.
     *
     * @param replica the replica's id
     * @return the replica's last report, or empty if there is none or it gets no new requests
     */
    public Optional<ReportedModel> serving(final String replica) {
        return Optional.ofNullable(mReports.get(replica)).filter(r -> mayServe(replica));
    }

    private UpstreamRollout rolloutOf(final String replica) {
        return mRollouts.get(mUpstreamByReplica.get(replica));
    }

    /** Updates the desired models if a new version of the configuration was accepted. */
    private void applyAcceptedConfiguration() {
        final Optional<Configuration> accepted = mState.accepted();
        if (accepted.isEmpty() || accepted.get().version() <= mDesired.version()) {
            return;
        }
        final long previous = mDesired.version();
        final long now = mTime.monotonicNanos();
        mDesired = DesiredState.of(accepted.get());
        mUpstreamByReplica.clear();
        mReports.keySet().retainAll(mDesired.orders().keySet());
        mRollouts.keySet().retainAll(mDesired.upstreams().keySet());
        mHeldByUpstream.keySet().retainAll(mDesired.upstreams().keySet());
        mDesired.upstreams()
                .forEach(
                        (upstream, replicas) -> {
                            replicas.forEach(id -> mUpstreamByReplica.put(id, upstream));
                            configure(upstream, replicas, previous, now);
                            updateHeld(upstream, now);
                        });
        publishHeld();
    }

    private void configure(
            final String upstream,
            final List<String> replicas,
            final long previous,
            final long nowNanos) {
        final VersionedModel desired = VersionedModel.of(mDesired.orders().get(replicas.get(0)));
        mRollouts
                .computeIfAbsent(
                        upstream, id -> new UpstreamRollout(desired, mDesired.version(), nowNanos))
                .configure(replicas, desired, mDesired.version(), previous);
    }

    private void updateHeld(final String upstream, final long nowNanos) {
        final Set<String> held = mRollouts.get(upstream).held(nowNanos);
        if (!held.equals(mHeldByUpstream.put(upstream, held))) {
            publishHeld();
        }
    }

    private void publishHeld() {
        final Set<String> all = new HashSet<>();
        mHeldByUpstream.values().forEach(all::addAll);
        mHeld = Set.copyOf(all);
    }

    private void record(final EngineOrder order, final ReportedModel report) {
        mDecisions.add(
                new DecisionRecord(
                        mTime.wallMillis(),
                        "",
                        Step.ORDER,
                        "load",
                        order.replica(),
                        String.format(
                                "reports model %s version %s fence %d, wanted %s version %s fence"
                                        + " %d",
                                report.model(),
                                report.modelVersion(),
                                report.fence(),
                                order.model(),
                                order.modelVersion(),
                                order.fence())));
    }
}
