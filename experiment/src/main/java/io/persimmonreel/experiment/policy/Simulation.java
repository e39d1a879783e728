package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import io.persimmonreel.experiment.policy.SimulatedRequest.Status;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Simulates one run: delivers requests and load reports to the daemons and applies the fault. */
final class Simulation {
    private static final long REPORT_INTERVAL_NANOS = 500_000_000L;
    private static final int MINIMUM_REPORT_AGE_MILLIS = 200;
    private static final int MAXIMUM_REPORT_AGE_MILLIS = 700;
    private static final int STALE_REPORT_AGE_MILLIS = 5000;
    private static final long HEALTH_CHECK_DELAY_NANOS = 1_000_000_000L;
    private static final long ENGINE_RESTART_DELAY_NANOS = 20_000_000_000L;
    private static final int FAULTY_ENGINE_INDEX = 2;

    private final EventLoop mLoop = new EventLoop();
    private final Deployment mDeployment;
    private final RunSpec mRunSpec;
    private final Workload mWorkload;
    private final SplittableRandom mRandom;
    private final Configuration mConfiguration;
    private final Map<String, SimulatedReplica> mReplicas = new LinkedHashMap<>();
    private final Map<String, List<SimulatedReplica>> mReplicasByUpstream = new LinkedHashMap<>();
    private final List<SimulatedRequest> mRequests = new ArrayList<>();
    private final List<Policy> mPolicies = new ArrayList<>();

    /** Index of the lost daemon, -1 for none. */
    private int mLostDaemon = -1;

    Simulation(
            final Deployment deployment,
            final RunSpec runSpec,
            final Workload workload,
            final long seed) {
        mDeployment = deployment;
        mRunSpec = runSpec;
        mWorkload = workload;
        mRandom = new SplittableRandom(seed);
        mConfiguration = deployment.configuration();
        int engine = 0;
        for (final String upstream :
                List.of(Deployment.ENGINE_UPSTREAM, Deployment.PLAIN_UPSTREAM)) {
            final UpstreamSpec spec = mConfiguration.upstreams().get(upstream);
            mReplicasByUpstream.put(upstream, new ArrayList<>());
            for (final ReplicaSpec replica : spec.replicas()) {
                final SimulatedReplica simulated =
                        spec.kind() == UpstreamKind.ENGINE
                                ? new SimulatedEngine(
                                        mLoop,
                                        replica.id(),
                                        Deployment.SLOTS_PER_REPLICA,
                                        Deployment.engineSpeed(engine++))
                                : new SimulatedPlainReplica(
                                        mLoop, replica.id(), Deployment.SLOTS_PER_REPLICA);
                mReplicas.put(replica.id(), simulated);
                mReplicasByUpstream.get(upstream).add(simulated);
            }
        }
    }

    EventLoop loop() {
        return mLoop;
    }

    RunSpec runSpec() {
        return mRunSpec;
    }

    Workload.Timeline timeline() {
        return mWorkload.timeline();
    }

    Configuration configuration() {
        return mConfiguration;
    }

    SimulatedReplica replica(final String id) {
        return mReplicas.get(id);
    }

    List<SimulatedReplica> replicas(final String upstream) {
        return mReplicasByUpstream.get(upstream);
    }

    List<SimulatedRequest> requests() {
        return mRequests;
    }

    List<Policy> policies() {
        return mPolicies;
    }

    /** Tells whether a daemon is the one that the fault removed. */
    boolean isLost(final int daemon) {
        return daemon == mLostDaemon;
    }

    /** Runs the workload with a policy for each daemon and returns the results. */
    RunResult run(final String policyName, final List<Policy> policies) {
        mPolicies.addAll(policies);
        policies.forEach(Policy::start);
        for (int i = 0; i < mWorkload.requests().size(); i++) {
            final SimulatedRequest request = mWorkload.requests().get(i).copyAsSent();
            final int daemon = mWorkload.daemons().get(i);
            mRequests.add(request);
            mLoop.scheduleAt(request.pending().arrivalNanos(), () -> arrive(request, daemon));
        }
        scheduleReports();
        scheduleFault();
        mLoop.runUntil(mWorkload.timeline().endNanos());
        return RunResult.of(mDeployment.name(), mRunSpec.name(), policyName, mRequests, timeline());
    }

    /** Delivers a request to its daemon, or to a random other one if that daemon was lost. */
    private void arrive(final SimulatedRequest request, final int daemon) {
        final int target =
                isLost(daemon)
                        ? (daemon + 1 + mRandom.nextInt(Deployment.DAEMONS - 1))
                                % Deployment.DAEMONS
                        : daemon;
        final Policy policy = mPolicies.get(target);
        request.mListener = policy;
        mLoop.scheduleAt(request.pending().deadlineNanos(), () -> expire(request));
        policy.onArrival(request);
    }

    private void expire(final SimulatedRequest request) {
        if (request.isOpen()) {
            final Policy policy = (Policy) request.mListener;
            end(request, Status.EXPIRED);
            policy.onAbandoned(request);
        }
    }

    /** Ends a request unless it has ended; cancels it at its replica if it did not complete. */
    void end(final SimulatedRequest request, final Status status) {
        if (request.isOpen()) {
            request.mStatus = status;
            request.mEndNanos = mLoop.nowNanos();
            if (request.mReplica != null && status != Status.COMPLETED) {
                request.mReplica.cancel(request);
            }
        }
    }

    private void scheduleReports() {
        mLoop.scheduleEvery(
                REPORT_INTERVAL_NANOS,
                REPORT_INTERVAL_NANOS,
                timeline().endNanos(),
                () ->
                        mReplicas
                                .values()
                                .forEach(
                                        replica -> {
                                            if (replica.isUp()) {
                                                sendReport(replica);
                                            }
                                        }));
    }

    private void sendReport(final SimulatedReplica replica) {
        final boolean stale =
                mRunSpec.fault() == RunSpec.Fault.STALE_REPORTS
                        && mLoop.nowNanos() >= timeline().measureFromNanos();
        for (final Policy policy : mPolicies) {
            final int ageMillis =
                    stale
                            ? STALE_REPORT_AGE_MILLIS
                            : mRandom.nextInt(MINIMUM_REPORT_AGE_MILLIS, MAXIMUM_REPORT_AGE_MILLIS);
            final var report = replica.report(ageMillis);
            mLoop.scheduleAfter(ageMillis * 1_000_000L, () -> policy.onLoadReport(report));
        }
    }

    private void scheduleFault() {
        final long faultNanos = timeline().faultNanos();
        final SimulatedReplica engine =
                mReplicasByUpstream.get(Deployment.ENGINE_UPSTREAM).get(FAULTY_ENGINE_INDEX);
        switch (mRunSpec.fault()) {
            case SLOW_ENGINE -> mLoop.scheduleAt(faultNanos, () -> engine.scaleSpeed(1.0 / 3));
            case CRASHED_ENGINE -> {
                mLoop.scheduleAt(faultNanos, engine::crash);
                mLoop.scheduleAt(
                        faultNanos + HEALTH_CHECK_DELAY_NANOS, () -> notifyHealth(engine, false));
                mLoop.scheduleAt(faultNanos + ENGINE_RESTART_DELAY_NANOS, engine::restart);
                mLoop.scheduleAt(
                        faultNanos + ENGINE_RESTART_DELAY_NANOS + HEALTH_CHECK_DELAY_NANOS,
                        () -> notifyHealth(engine, true));
            }
            case LOST_DAEMON -> mLoop.scheduleAt(faultNanos, this::loseDaemon);
            case PARTITION ->
                    mLoop.scheduleAt(faultNanos, () -> mPolicies.forEach(Policy::onPartition));
            default -> {}
        }
    }

    private void notifyHealth(final SimulatedReplica replica, final boolean up) {
        mPolicies.forEach(policy -> policy.onHealthChange(replica, up));
    }

    private void loseDaemon() {
        mLostDaemon = mPolicies.size() - 1;
        final Policy lost = mPolicies.get(mLostDaemon);
        for (final SimulatedRequest request : mRequests) {
            if (request.isOpen() && request.mListener == lost) {
                end(request, Status.FAILED);
                lost.onAbandoned(request);
            }
        }
        mPolicies.forEach(policy -> policy.onDaemonLost(mLostDaemon));
    }
}
