package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.service.Tier;
import io.persimmonreel.experiment.policy.SimulatedRequest.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Decides for all daemons without delay, with the true state of all replicas and the true output
 * lengths: strict priority of tiers, earliest due time first within a tier, and pauses without
 * limit. Drops requests that cannot meet their objective.
 */
final class OraclePolicy implements Policy {
    private final Simulation mSimulation;
    private final Map<String, PriorityQueue<SimulatedRequest>> mWaiting = new HashMap<>();
    private final Map<String, List<SimulatedRequest>> mPaused = new HashMap<>();
    private final Map<SimulatedReplica, List<SimulatedRequest>> mRunning = new HashMap<>();
    private boolean mDecisionScheduled;

    OraclePolicy(final Simulation simulation) {
        mSimulation = simulation;
    }

    /** Returns the latest time at which the complete response meets the objective. */
    private static long completionDueNanos(final SimulatedRequest request) {
        return request.pending().arrivalNanos()
                + request.service().objective().complete().toNanos();
    }

    @Override
    public void onArrival(final SimulatedRequest request) {
        waiting(request.service().upstream(), request.tier()).add(request);
        scheduleDecision();
    }

    private PriorityQueue<SimulatedRequest> waiting(final String upstream, final Tier tier) {
        return mWaiting.computeIfAbsent(
                upstream + tier,
                key ->
                        new PriorityQueue<>(
                                Comparator.comparingLong(OraclePolicy::completionDueNanos)));
    }

    private List<SimulatedRequest> paused(final String upstream, final Tier tier) {
        return mPaused.computeIfAbsent(upstream + tier, key -> new ArrayList<>());
    }

    private List<SimulatedRequest> running(final SimulatedReplica replica) {
        return mRunning.computeIfAbsent(replica, key -> new ArrayList<>());
    }

    private void scheduleDecision() {
        if (!mDecisionScheduled) {
            mDecisionScheduled = true;
            mSimulation.loop().scheduleAfter(0, this::decide);
        }
    }

    private void decide() {
        mDecisionScheduled = false;
        for (final String upstream :
                List.of(Deployment.ENGINE_UPSTREAM, Deployment.PLAIN_UPSTREAM)) {
            for (final Tier tier : Tier.values()) {
                serve(upstream, tier);
            }
        }
    }

    /** Resumes paused requests of a tier, then places waiting ones while there is room. */
    private void serve(final String upstream, final Tier tier) {
        final List<SimulatedRequest> paused = paused(upstream, tier);
        paused.removeIf(request -> !request.isOpen() || resume(request));
        final PriorityQueue<SimulatedRequest> waiting = waiting(upstream, tier);
        while (!waiting.isEmpty() && place(upstream, waiting.peek())) {
            waiting.poll();
        }
    }

    /** Submits a request or drops it; returns false if it has to wait for room. */
    private boolean place(final String upstream, final SimulatedRequest request) {
        final long now = mSimulation.loop().nowNanos();
        if (!request.isOpen() || now >= completionDueNanos(request)) {
            return true;
        }
        SimulatedReplica best = null;
        double bestNanos = Double.MAX_VALUE;
        for (final SimulatedReplica replica : mSimulation.replicas(upstream)) {
            final boolean hasRoom =
                    replica.isUp()
                            && (replica.activeRequests() < replica.slots()
                                    || preemptionCandidate(replica, request) != null);
            final double nanos = hasRoom ? replica.trueCompletionNanos(request) : Double.MAX_VALUE;
            if (nanos < bestNanos) {
                best = replica;
                bestNanos = nanos;
            }
        }
        if (best == null) {
            return false;
        }
        if (now + bestNanos <= completionDueNanos(request)) {
            makeRoom(best, request, 0);
            running(best).add(request);
            best.submit(request);
        }
        return true;
    }

    private boolean resume(final SimulatedRequest request) {
        final SimulatedReplica replica = request.mReplica;
        if (!replica.isUp()
                || (replica.activeRequests() >= replica.slots()
                        && preemptionCandidate(replica, request) == null)) {
            return false;
        }
        if (!replica.resume(request)) {
            mSimulation.end(request, Status.FAILED);
            return true;
        }
        makeRoom(replica, request, 1);
        running(replica).add(request);
        return true;
    }

    /**
     * Finds the stream to pause for a request: of a lower tier, with the latest due time; null if
     * there is none.
     */
    private SimulatedRequest preemptionCandidate(
            final SimulatedReplica replica, final SimulatedRequest request) {
        SimulatedRequest found = null;
        for (final SimulatedRequest other : running(replica)) {
            if (request.tier().isHigherThan(other.tier())
                    && other.service().upstream().equals(Deployment.ENGINE_UPSTREAM)
                    && (found == null || completionDueNanos(other) > completionDueNanos(found))) {
                found = other;
            }
        }
        return found;
    }

    /**
     * Pauses a lower-tier stream if the replica is full; {@code alreadyCounted} is 1 if the replica
     * counts the request among its active ones, else 0.
     */
    private void makeRoom(
            final SimulatedReplica replica,
            final SimulatedRequest request,
            final int alreadyCounted) {
        if (replica.activeRequests() >= replica.slots() + alreadyCounted) {
            final SimulatedRequest preempted = preemptionCandidate(replica, request);
            replica.pause(preempted);
            running(replica).remove(preempted);
            paused(preempted.service().upstream(), preempted.tier()).add(preempted);
        }
    }

    /** Forgets an ended request and decides anew. */
    private void removeEnded(final SimulatedRequest request) {
        if (request.mReplica != null) {
            running(request.mReplica).remove(request);
        }
        scheduleDecision();
    }

    @Override
    public void onAbandoned(final SimulatedRequest request) {
        removeEnded(request);
    }

    @Override
    public void onHealthChange(final SimulatedReplica replica, final boolean up) {
        scheduleDecision();
    }

    @Override
    public void onToken(final SimulatedRequest request) {}

    @Override
    public void onCompleted(final SimulatedRequest request) {
        mSimulation.end(request, Status.COMPLETED);
        removeEnded(request);
    }

    @Override
    public void onBroken(final SimulatedRequest request) {
        mSimulation.end(request, Status.FAILED);
        removeEnded(request);
    }
}
