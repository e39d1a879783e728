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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A scheduler for tests that dispatches to the replicas in turn while it is open, and resumes
 * broken streams at the same replica.
 */
public final class FakeScheduler implements Scheduler {
    private final List<String> mReplicas;
    private final Queue<Directive> mDirectives = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> mDispatchCounts = new ConcurrentHashMap<>();
    private final List<String> mWaiting = new CopyOnWriteArrayList<>();
    private final List<String> mEvents = new CopyOnWriteArrayList<>();
    private volatile boolean mOpen = true;

    public FakeScheduler(final String... replicas) {
        mReplicas = List.of(replicas);
    }

    /**
     * Returns the events received so far: completions and availabilities by name, others by a
     * label.
     */
    public List<String> events() {
        return mEvents;
    }

    public List<String> waiting() {
        return mWaiting;
    }

    public void setOpen(final boolean open) {
        mOpen = open;
    }

    public void addDirective(final Directive directive) {
        mDirectives.add(directive);
    }

    @Override
    public void configure(final Configuration configuration, final long nowNanos) {
        mEvents.add("configure");
    }

    @Override
    public void offer(final PendingRequest request, final long nowNanos) {
        mWaiting.add(request.requestId());
    }

    @Override
    public List<Directive> poll(final long nowNanos) {
        final List<Directive> directives = new ArrayList<>();
        if (mOpen) {
            for (final String id : mWaiting) {
                mWaiting.remove(id);
                final int turn = mDispatchCounts.merge(id, 1, Integer::sum) - 1;
                final String replica = mReplicas.get(turn % mReplicas.size());
                directives.add(new Directive.Dispatch(id, replica, "next in turn"));
            }
        }
        for (Directive d = mDirectives.poll(); d != null; d = mDirectives.poll()) {
            directives.add(d);
        }
        return directives;
    }

    @Override
    public void onTokens(final String requestId, final int tokens, final long nowNanos) {
        // Tests check the tokens that the caller received instead.
    }

    @Override
    public void onFinished(
            final String requestId, final Completion completion, final long nowNanos) {
        mEvents.add(completion.name());
        if (completion == Completion.NOT_SENT) {
            mWaiting.add(requestId);
        } else if (completion == Completion.BROKEN) {
            final int turn = mDispatchCounts.get(requestId) - 1;
            final String replica = mReplicas.get(turn % mReplicas.size());
            mDirectives.add(new Directive.Resume(requestId, replica, ""));
        }
    }

    @Override
    public void cancel(final String requestId, final long nowNanos) {
        mWaiting.remove(requestId);
        mEvents.add("cancel");
    }

    @Override
    public void onLoadReport(final LoadReport report, final long nowNanos) {
        mEvents.add("report");
    }

    @Override
    public void onAvailability(
            final String replica, final ReplicaAvailability availability, final long nowNanos) {
        mEvents.add(availability.name());
    }

    @Override
    public void onPeerLoad(final Incarnation from, final List<PeerLoad> load, final long nowNanos) {
        mEvents.add("peer");
    }

    @Override
    public void onShedNotice(final Incarnation from, final ShedNotice notice, final long nowNanos) {
        mEvents.add("shed");
    }

    @Override
    public void onMembers(
            final List<Incarnation> live, final int unconfirmed, final long nowNanos) {
        mEvents.add("members");
    }

    @Override
    public List<PeerLoad> load(final long nowNanos) {
        return List.of();
    }

    @Override
    public List<ShedNotice> raisedThresholds(final long nowNanos) {
        return List.of();
    }

    @Override
    public boolean isServable(final String service) {
        return true;
    }
}
