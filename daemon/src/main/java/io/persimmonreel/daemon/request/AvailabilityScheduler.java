package io.persimmonreel.daemon.request;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.schedule.LoadReport;
import io.persimmonreel.core.schedule.PendingRequest;
import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.core.schedule.Scheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Wraps a scheduler and combines the availability of replicas from its three sources.
 *
 * <p>{@link ReplicaAvailability#DOWN} comes from connections and holds until the next load report
 * of the replica. Replicas that do not serve the desired model count as leaving. The other values
 * come from the host list, so a replica that recovers while it is listed as leaving gets no new
 * work.
 */
public final class AvailabilityScheduler implements Scheduler {
    private final Scheduler mScheduler;
    private final Map<String, ReplicaAvailability> mListedAvailability = new HashMap<>();
    private final Set<String> mDownReplicas = new HashSet<>();
    private final Set<String> mWithheldReplicas = new HashSet<>();

    /**
     * Wraps a scheduler.
     *
     * @param scheduler the scheduler
     */
    public AvailabilityScheduler(final Scheduler scheduler) {
        mScheduler = scheduler;
    }

    @Override
    public void onAvailability(
            final String replica, final ReplicaAvailability availability, final long nowNanos) {
        // The lock makes sure that the scheduler receives the changes of a replica in order.
        synchronized (mListedAvailability) {
            if (availability == ReplicaAvailability.DOWN) {
                mDownReplicas.add(replica);
            } else {
                mListedAvailability.put(replica, availability);
            }
            mScheduler.onAvailability(replica, effectiveAvailability(replica), nowNanos);
        }
    }

    /**
     * Sets the replicas that get no new work because they do not serve the desired model.
     *
     * @param replicas the ids of all such replicas; others get work again
     * @param nowNanos the present monotonic time
     */
    public void withholdWork(final Set<String> replicas, final long nowNanos) {
        synchronized (mListedAvailability) {
            final Set<String> changed = new HashSet<>(mWithheldReplicas);
            changed.addAll(replicas);
            mWithheldReplicas.clear();
            mWithheldReplicas.addAll(replicas);
            changed.forEach(
                    id -> mScheduler.onAvailability(id, effectiveAvailability(id), nowNanos));
        }
    }

    @Override
    public void onLoadReport(final LoadReport report, final long nowNanos) {
        synchronized (mListedAvailability) {
            if (mDownReplicas.remove(report.replica())) {
                mScheduler.onAvailability(
                        report.replica(), effectiveAvailability(report.replica()), nowNanos);
            }
        }
        mScheduler.onLoadReport(report, nowNanos);
    }

    @Override
    public void configure(final Configuration configuration, final long nowNanos) {
        mScheduler.configure(configuration, nowNanos);
    }

    @Override
    public void offer(final PendingRequest request, final long nowNanos) {
        mScheduler.offer(request, nowNanos);
    }

    @Override
    public List<Directive> poll(final long nowNanos) {
        return mScheduler.poll(nowNanos);
    }

    @Override
    public void onTokens(final String requestId, final int tokens, final long nowNanos) {
        mScheduler.onTokens(requestId, tokens, nowNanos);
    }

    @Override
    public void onFinished(
            final String requestId, final Completion completion, final long nowNanos) {
        mScheduler.onFinished(requestId, completion, nowNanos);
    }

    @Override
    public void cancel(final String requestId, final long nowNanos) {
        mScheduler.cancel(requestId, nowNanos);
    }

    @Override
    public void onPeerLoad(final Incarnation from, final List<PeerLoad> load, final long nowNanos) {
        mScheduler.onPeerLoad(from, load, nowNanos);
    }

    @Override
    public void onShedNotice(final Incarnation from, final ShedNotice notice, final long nowNanos) {
        mScheduler.onShedNotice(from, notice, nowNanos);
    }

    @Override
    public void onMembers(
            final List<Incarnation> live, final int unconfirmed, final long nowNanos) {
        mScheduler.onMembers(live, unconfirmed, nowNanos);
    }

    @Override
    public List<PeerLoad> load(final long nowNanos) {
        return mScheduler.load(nowNanos);
    }

    @Override
    public List<ShedNotice> raisedThresholds(final long nowNanos) {
        return mScheduler.raisedThresholds(nowNanos);
    }

    @Override
    public boolean isServable(final String service) {
        return mScheduler.isServable(service);
    }

    private ReplicaAvailability effectiveAvailability(final String replica) {
        if (mDownReplicas.contains(replica)) {
            return ReplicaAvailability.DOWN;
        }
        return mWithheldReplicas.contains(replica)
                ? ReplicaAvailability.LEAVING
                : mListedAvailability.getOrDefault(replica, ReplicaAvailability.LIVE);
    }
}
