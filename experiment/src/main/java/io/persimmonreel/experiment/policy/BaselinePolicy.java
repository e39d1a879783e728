package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.LoadReport;
import io.persimmonreel.experiment.policy.SimulatedRequest.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Dispatches each request on arrival, without a queue, to the replica that a selector picks. */
final class BaselinePolicy implements Policy {
    private static final int CONNECT_ATTEMPTS = 3;

    /** Selects one of the replicas that are not known to be down. */
    interface ReplicaSelector {
        SimulatedReplica select(List<SimulatedReplica> replicas, BaselinePolicy policy);
    }

    private final Simulation mSimulation;
    private final ReplicaSelector mSelector;
    private final SplittableRandom mRandom;
    private final Map<String, Integer> mReportedLoads = new HashMap<>();
    private final Set<SimulatedReplica> mDown = new HashSet<>();
    private int mNextIndex;

    BaselinePolicy(final Simulation simulation, final ReplicaSelector selector, final long seed) {
        mSimulation = simulation;
        mSelector = selector;
        mRandom = new SplittableRandom(seed);
        mNextIndex = mRandom.nextInt(Deployment.SLOTS_PER_REPLICA);
    }

    static SimulatedReplica roundRobin(
            final List<SimulatedReplica> replicas, final BaselinePolicy policy) {
        return replicas.get(policy.mNextIndex++ % replicas.size());
    }

    /** Selects a replica with the lowest reported load; ties are broken at random. */
    static SimulatedReplica leastReportedLoad(
            final List<SimulatedReplica> replicas, final BaselinePolicy policy) {
        SimulatedReplica best = null;
        int ties = 0;
        for (final SimulatedReplica replica : replicas) {
            final int load = policy.reportedLoad(replica);
            if (best == null || load < policy.reportedLoad(best)) {
                best = replica;
                ties = 1;
            } else if (load == policy.reportedLoad(best) && policy.mRandom.nextInt(++ties) == 0) {
                best = replica;
            }
        }
        return best;
    }

    /** Selects the less loaded one of two random replicas. */
    static SimulatedReplica twoChoices(
            final List<SimulatedReplica> replicas, final BaselinePolicy policy) {
        final SimulatedReplica first = replicas.get(policy.mRandom.nextInt(replicas.size()));
        final SimulatedReplica second = replicas.get(policy.mRandom.nextInt(replicas.size()));
        return policy.reportedLoad(first) <= policy.reportedLoad(second) ? first : second;
    }

    private int reportedLoad(final SimulatedReplica replica) {
        return mReportedLoads.getOrDefault(replica.id(), 0);
    }

    @Override
    public void onArrival(final SimulatedRequest request) {
        final List<SimulatedReplica> candidates =
                new ArrayList<>(mSimulation.replicas(request.service().upstream()));
        candidates.removeAll(mDown);
        for (int i = 0; i < CONNECT_ATTEMPTS && !candidates.isEmpty(); i++) {
            final SimulatedReplica replica = mSelector.select(candidates, this);
            if (replica.submit(request)) {
                return;
            }
            candidates.remove(replica);
        }
        mSimulation.end(request, Status.REFUSED);
    }

    @Override
    public void onLoadReport(final LoadReport report) {
        mReportedLoads.put(report.replica(), report.running() + report.waiting());
    }

    @Override
    public void onHealthChange(final SimulatedReplica replica, final boolean up) {
        if (up) {
            mDown.remove(replica);
        } else {
            mDown.add(replica);
        }
    }

    @Override
    public void onToken(final SimulatedRequest request) {}

    @Override
    public void onCompleted(final SimulatedRequest request) {
        mSimulation.end(request, Status.COMPLETED);
    }

    @Override
    public void onBroken(final SimulatedRequest request) {
        mSimulation.end(request, Status.FAILED);
    }
}
