package io.persimmonreel.core.schedule;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.schedule.TrackedRequest.Phase;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.UpstreamSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Schedules all requests of one daemon, with one {@link UpstreamScheduler} for each upstream. One
 * lock guards all scheduling state; counting tokens and {@link #isServable} need no lock.
 */
public final class DaemonScheduler implements Scheduler {
    private final Object mLock = new Object();
    private final Incarnation mSelf;
    private final SplittableRandom mRandom;
    private final DecisionRecorder mDecisions;
    private final Map<String, TrackedRequest> mRequests = new ConcurrentHashMap<>();
    private final OutputLengthPredictor mLengths = new OutputLengthPredictor();
    private final List<Directive> mPendingDirectives = new ArrayList<>();
    private volatile ConfiguredState mConfigured = new ConfiguredState(null, null, Map.of());
    private List<Incarnation> mLive = List.of();
    private int mUnconfirmed;

    /** Holds the accepted configuration and the objects built from it; replaced as a whole. */
    private record ConfiguredState(
            Configuration configuration,
            ServiceDependencies dependencies,
            Map<String, UpstreamScheduler> upstreams) {}

    /**
     * Creates a scheduler without a configuration; it refuses all requests until it gets one.
     *
     * @param self the incarnation of this daemon
     * @param seed the seed of all random choices
     * @param log the decision log, which sets the wall-clock time of the records
     */
    public DaemonScheduler(final Incarnation self, final long seed, final DecisionLog log) {
        mSelf = self;
        mRandom = new SplittableRandom(seed);
        mDecisions = new DecisionRecorder(log);
    }

    @Override
    public void configure(final Configuration configuration, final long nowNanos) {
        synchronized (mLock) {
            final Map<String, UpstreamScheduler> upstreams = new LinkedHashMap<>();
            final List<String> ids = new ArrayList<>(configuration.upstreams().keySet());
            ids.sort(null);
            for (final String id : ids) {
                final UpstreamSpec spec = configuration.upstreams().get(id);
                UpstreamScheduler upstream = mConfigured.upstreams().get(id);
                if (upstream == null) {
                    upstream = new UpstreamScheduler(spec, mSelf, mRandom.split(), mDecisions);
                    upstream.configure(configuration, spec, this::areDependenciesServable);
                    if (!mLive.isEmpty()) {
                        upstream.onMembers(mLive, mUnconfirmed, nowNanos);
                    }
                } else {
                    upstream.configure(configuration, spec, this::areDependenciesServable);
                }
                upstreams.put(id, upstream);
            }
            mConfigured =
                    new ConfiguredState(
                            configuration, new ServiceDependencies(configuration), upstreams);
            refuseRemovedServices(configuration);
            upstreams.values().forEach(upstream -> upstream.onReplicaChanged(nowNanos));
        }
    }

    private void refuseRemovedServices(final Configuration configuration) {
        for (final TrackedRequest request : mRequests.values()) {
            if (request.mPhase == Phase.QUEUED
                    && !configuration.services().containsKey(request.service().id())) {
                mRequests.remove(request.id());
                request.upstream().refuseRemoved(request, mPendingDirectives);
            }
        }
    }

    private boolean areDependenciesServable(final TrackedRequest request) {
        final ConfiguredState configured = mConfigured;
        for (final String needed : configured.dependencies().of(request.service().id())) {
            final ServiceSpec service = configured.configuration().services().get(needed);
            final UpstreamScheduler upstream =
                    service == null ? null : configured.upstreams().get(service.upstream());
            final UpstreamScheduler own = request.upstream();
            if (upstream != own
                    && (upstream == null || !upstream.isServableWithin(request.allowedNanos()))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void offer(final PendingRequest pending, final long nowNanos) {
        synchronized (mLock) {
            final ConfiguredState configured = mConfigured;
            final ServiceSpec service =
                    configured.configuration() == null
                            ? null
                            : configured.configuration().services().get(pending.service());
            if (service == null) {
                mPendingDirectives.add(
                        new Directive.Refuse(
                                pending.requestId(),
                                configured.configuration() == null
                                        ? ProblemType.NOT_READY
                                        : ProblemType.UNKNOWN_SERVICE,
                                "The service is not in the accepted configuration",
                                0));
                return;
            }
            final UpstreamScheduler upstream = configured.upstreams().get(service.upstream());
            final TrackedRequest request = new TrackedRequest(pending, service, upstream);
            final Optional<Directive> refusal = upstream.offer(request, mLengths, nowNanos);
            if (refusal.isPresent()) {
                mPendingDirectives.add(refusal.get());
            } else {
                mRequests.put(request.id(), request);
            }
        }
    }

    @Override
    public List<Directive> poll(final long nowNanos) {
        synchronized (mLock) {
            final List<Directive> out = new ArrayList<>(mPendingDirectives);
            mPendingDirectives.clear();
            for (final UpstreamScheduler upstream : mConfigured.upstreams().values()) {
                upstream.poll(nowNanos, out);
            }
            for (int i = 0; i < out.size(); i++) {
                if (out.get(i) instanceof Directive.Refuse refuse) {
                    mRequests.remove(refuse.requestId());
                }
            }
            return out;
        }
    }

    @Override
    public void onTokens(final String requestId, final int tokens, final long nowNanos) {
        final TrackedRequest request = mRequests.get(requestId);
        if (request == null) {
            return;
        }
        if (request.tokens().getAndSet(tokens) == 0 && tokens > 0) {
            synchronized (mLock) {
                request.upstream().startedRequests().onFirstToken(request, nowNanos);
            }
        }
    }

    @Override
    public void onFinished(
            final String requestId, final Completion completion, final long nowNanos) {
        synchronized (mLock) {
            final TrackedRequest request = mRequests.get(requestId);
            if (request == null) {
                return;
            }
            if (request.mPhase != Phase.RUNNING) {
                if (completion != Completion.BROKEN) {
                    cancel(requestId, nowNanos);
                }
                return;
            }
            final UpstreamScheduler upstream = request.upstream();
            final boolean servable = upstream.isServable();
            upstream.startedRequests().finish(request, completion, nowNanos);
            if (completion == Completion.ANSWERED && request.tokens().get() > 0) {
                mLengths.add(
                        request.service().id(),
                        request.request().customer(),
                        request.tokens().get());
            }
            if (completion == Completion.NOT_SENT) {
                retry(request, nowNanos);
            } else if (completion != Completion.BROKEN) {
                mRequests.remove(requestId);
            }
            if (completion != Completion.ANSWERED || !servable) {
                upstream.onReplicaChanged(nowNanos);
            }
        }
    }

    private void retry(final TrackedRequest request, final long nowNanos) {
        final UpstreamScheduler upstream = request.upstream();
        if (upstream.retries().takeRetry()) {
            upstream.requeue(request, nowNanos);
        } else {
            mRequests.remove(request.id());
            mPendingDirectives.add(
                    new Directive.Refuse(
                            request.id(),
                            ProblemType.NO_CAPACITY,
                            "The connection failed and the retry budget is used up",
                            upstream.retries().retryAfterMillis(0)));
        }
    }

    @Override
    public void cancel(final String requestId, final long nowNanos) {
        synchronized (mLock) {
            final TrackedRequest request = mRequests.remove(requestId);
            if (request == null) {
                return;
            }
            switch (request.mPhase) {
                case QUEUED -> request.upstream().dropQueued(request);
                case RUNNING ->
                        request.upstream()
                                .startedRequests()
                                .finish(request, Completion.CANCELLED, nowNanos);
                case PAUSED, BROKEN ->
                        request.upstream().startedRequests().dropWaiting(request, nowNanos);
                default -> {}
            }
        }
    }

    @Override
    public void onLoadReport(final LoadReport report, final long nowNanos) {
        synchronized (mLock) {
            for (final UpstreamScheduler upstream : mConfigured.upstreams().values()) {
                final ReplicaState replica = upstream.table().find(report.replica());
                if (replica != null) {
                    replica.onReport(report, nowNanos);
                    return;
                }
            }
        }
    }

    @Override
    public void onAvailability(
            final String replicaId, final ReplicaAvailability availability, final long nowNanos) {
        synchronized (mLock) {
            for (final UpstreamScheduler upstream : mConfigured.upstreams().values()) {
                final ReplicaState replica = upstream.table().find(replicaId);
                if (replica != null) {
                    replica.availability(availability, nowNanos);
                    upstream.onReplicaChanged(nowNanos);
                }
            }
        }
    }

    @Override
    public void onPeerLoad(final Incarnation from, final List<PeerLoad> load, final long nowNanos) {
        synchronized (mLock) {
            for (final PeerLoad part : load) {
                final UpstreamScheduler upstream = mConfigured.upstreams().get(part.upstream());
                if (upstream != null) {
                    upstream.onPeer(from, part);
                }
            }
        }
    }

    @Override
    public void onShedNotice(final Incarnation from, final ShedNotice notice, final long nowNanos) {
        synchronized (mLock) {
            final UpstreamScheduler upstream = mConfigured.upstreams().get(notice.upstream());
            if (upstream != null) {
                upstream.sheddingThreshold().onNotice(from, notice, nowNanos);
            }
        }
    }

    @Override
    public void onMembers(
            final List<Incarnation> live, final int unconfirmed, final long nowNanos) {
        synchronized (mLock) {
            mLive = List.copyOf(live);
            mUnconfirmed = unconfirmed;
            for (final UpstreamScheduler upstream : mConfigured.upstreams().values()) {
                upstream.onMembers(live, unconfirmed, nowNanos);
            }
        }
    }

    @Override
    public List<PeerLoad> load(final long nowNanos) {
        synchronized (mLock) {
            final List<PeerLoad> load = new ArrayList<>();
            mConfigured.upstreams().values().forEach(upstream -> load.add(upstream.load()));
            return load;
        }
    }

    @Override
    public List<ShedNotice> raisedThresholds(final long nowNanos) {
        synchronized (mLock) {
            final List<ShedNotice> thresholds = new ArrayList<>();
            for (final UpstreamScheduler upstream : mConfigured.upstreams().values()) {
                upstream.sheddingThreshold().own(nowNanos).ifPresent(thresholds::add);
            }
            return thresholds;
        }
    }

    @Override
    public boolean isServable(final String service) {
        final ConfiguredState configured = mConfigured;
        final ServiceSpec spec =
                configured.configuration() == null
                        ? null
                        : configured.configuration().services().get(service);
        final UpstreamScheduler upstream =
                spec == null ? null : configured.upstreams().get(spec.upstream());
        return upstream != null && upstream.isServable();
    }
}
