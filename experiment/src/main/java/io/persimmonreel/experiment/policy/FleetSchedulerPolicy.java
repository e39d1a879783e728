package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.schedule.DaemonScheduler;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.schedule.LoadReport;
import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.experiment.policy.SimulatedRequest.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Runs the fleet scheduler of one daemon and exchanges load and shed notices with its peers. */
final class FleetSchedulerPolicy implements Policy {
    private static final long POLL_INTERVAL_NANOS = 10_000_000L;
    private static final long POLL_STAGGER_NANOS = 1_000_000L;
    private static final long HEARTBEAT_INTERVAL_NANOS = 500_000_000L;
    private static final long MINIMUM_PEER_DELAY_NANOS = 1_000_000L;
    private static final int PEER_DELAY_JITTER_NANOS = 1_000_000;

    /** Time until peers treat a silent daemon as failed. */
    private static final long FAILURE_DETECTION_NANOS = 5_000_000_000L;

    /** Time until the host list confirms that a daemon is lost. */
    private static final long HOST_LIST_CONFIRMATION_NANOS = 30_000_000_000L;

    /** Time until the daemon notices a refused connection or a broken response. */
    private static final long REPLICA_FAILURE_DELAY_NANOS = 1_000_000L;

    private static final double KV_IMPORT_NANOS_PER_TOKEN = 5000;

    /** Number of daemons on one side of the partition, those with the lowest indexes. */
    private static final int FIRST_PARTITION_DAEMONS = 4;

    private final Simulation mSimulation;
    private final int mIndex;
    private final DaemonScheduler mScheduler;
    private final SplittableRandom mRandom;
    private final Map<String, SimulatedRequest> mRequests = new HashMap<>();
    private boolean mPollScheduled;
    private boolean mPartitioned;

    FleetSchedulerPolicy(final Simulation simulation, final int index, final long seed) {
        mSimulation = simulation;
        mIndex = index;
        mRandom = new SplittableRandom(seed + index);
        mScheduler = new DaemonScheduler(incarnation(index), seed + index, record -> {});
    }

    private static Incarnation incarnation(final int index) {
        return new Incarnation(index + 1);
    }

    private long now() {
        return mSimulation.loop().nowNanos();
    }

    @Override
    public void start() {
        mScheduler.configure(mSimulation.configuration(), 0);
        updateMembers(Deployment.DAEMONS, -1, 0);
        final long end = mSimulation.timeline().endNanos();
        mSimulation
                .loop()
                .scheduleEvery(mIndex * POLL_STAGGER_NANOS, POLL_INTERVAL_NANOS, end, this::poll);
        final long offset = mIndex * HEARTBEAT_INTERVAL_NANOS / Deployment.DAEMONS;
        mSimulation.loop().scheduleEvery(offset, HEARTBEAT_INTERVAL_NANOS, end, this::heartbeat);
    }

    /**
     * Passes the reachable daemons to the scheduler.
     *
     * @param count the number of daemons in the deployment
     * @param excluded the index of the lost daemon, -1 for none
     * @param unconfirmed the number of unreachable daemons that the host list does not confirm as
     *     lost
     */
    private void updateMembers(final int count, final int excluded, final int unconfirmed) {
        final List<Incarnation> live = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (i != excluded && canReach(i)) {
                live.add(incarnation(i));
            }
        }
        mScheduler.onMembers(live, unconfirmed, now());
    }

    private boolean canReach(final int other) {
        return !mPartitioned
                || (mIndex < FIRST_PARTITION_DAEMONS) == (other < FIRST_PARTITION_DAEMONS);
    }

    /** Performs the action of a message at the peer that receives it. */
    private interface Message {
        void deliver(FleetSchedulerPolicy peer);
    }

    private void sendToPeers(final Message message) {
        if (mSimulation.isLost(mIndex)) {
            return;
        }
        for (final Policy other : mSimulation.policies()) {
            final FleetSchedulerPolicy peer = (FleetSchedulerPolicy) other;
            if (peer != this && !mSimulation.isLost(peer.mIndex) && canReach(peer.mIndex)) {
                final long delay =
                        MINIMUM_PEER_DELAY_NANOS + mRandom.nextInt(PEER_DELAY_JITTER_NANOS);
                mSimulation.loop().scheduleAfter(delay, () -> message.deliver(peer));
            }
        }
    }

    private void heartbeat() {
        final List<PeerLoad> load = mScheduler.load(now());
        final List<ShedNotice> shedNotices = mScheduler.raisedThresholds(now());
        sendToPeers(
                peer -> {
                    peer.mScheduler.onPeerLoad(incarnation(mIndex), load, now());
                    shedNotices.forEach(notice -> peer.receiveShedNotice(mIndex, notice));
                });
    }

    private void receiveShedNotice(final int from, final ShedNotice notice) {
        mScheduler.onShedNotice(incarnation(from), notice, now());
        schedulePoll();
    }

    @Override
    public void onArrival(final SimulatedRequest request) {
        mRequests.put(request.pending().requestId(), request);
        mScheduler.offer(request.pending(), now());
        schedulePoll();
    }

    private void schedulePoll() {
        if (!mPollScheduled) {
            mPollScheduled = true;
            mSimulation.loop().scheduleAfter(0, this::poll);
        }
    }

    private void poll() {
        mPollScheduled = false;
        if (mSimulation.isLost(mIndex)) {
            return;
        }
        for (final Directive directive : mScheduler.poll(now())) {
            execute(directive);
        }
    }

    private void execute(final Directive directive) {
        if (directive instanceof Directive.Dispatch dispatch) {
            final SimulatedRequest request = mRequests.get(dispatch.requestId());
            if (!mSimulation.replica(dispatch.replica()).submit(request)) {
                finishAfterDelay(request, Completion.NOT_SENT);
            }
        } else if (directive instanceof Directive.Refuse refuse) {
            final SimulatedRequest request = mRequests.remove(refuse.requestId());
            mSimulation.end(request, Status.REFUSED);
        } else if (directive instanceof Directive.Pause pause) {
            final SimulatedRequest request = mRequests.get(pause.requestId());
            request.mPauseAfterImport = request.mImporting;
            mSimulation.replica(pause.replica()).pause(request);
        } else if (directive instanceof Directive.Resume resume) {
            resume(resume);
        } else if (directive instanceof Directive.Publish publish) {
            sendToPeers(peer -> peer.receiveShedNotice(mIndex, publish.notice()));
        }
    }

    private void resume(final Directive.Resume resume) {
        final SimulatedRequest request = mRequests.get(resume.requestId());
        final SimulatedReplica replica = mSimulation.replica(resume.replica());
        request.mReplica = replica;
        if (request.mImporting) {
            request.mPauseAfterImport = false;
        } else if (!resume.importFrom().isEmpty()) {
            importKvCache(request, mSimulation.replica(resume.importFrom()));
        } else if (!replica.resume(request)) {
            finishAfterDelay(request, Completion.BROKEN);
        }
    }

    /**
     * Moves the KV cache of a paused stream. The stream resumes at {@code mReplica}, which a later
     * directive may have changed during the import.
     */
    private void importKvCache(final SimulatedRequest request, final SimulatedReplica from) {
        from.cancel(request);
        request.mImporting = true;
        final int tokens = request.pending().promptTokens() + request.mGeneratedTokens;
        mSimulation
                .loop()
                .scheduleAfter(
                        (long) (tokens * KV_IMPORT_NANOS_PER_TOKEN),
                        () -> {
                            request.mImporting = false;
                            if (request.isOpen()) {
                                request.mReplica.resumeImported(request);
                                if (request.mPauseAfterImport) {
                                    request.mPauseAfterImport = false;
                                    request.mReplica.pause(request);
                                }
                            }
                        });
    }

    /** Reports a failed attempt after the time that the daemon takes to notice it. */
    private void finishAfterDelay(final SimulatedRequest request, final Completion completion) {
        mSimulation
                .loop()
                .scheduleAfter(
                        REPLICA_FAILURE_DELAY_NANOS,
                        () -> {
                            if (request.isOpen()) {
                                finish(request, completion);
                            }
                        });
    }

    private void finish(final SimulatedRequest request, final Completion completion) {
        mScheduler.onFinished(request.pending().requestId(), completion, now());
        schedulePoll();
    }

    @Override
    public void onToken(final SimulatedRequest request) {
        mScheduler.onTokens(request.pending().requestId(), request.mGeneratedTokens, now());
    }

    @Override
    public void onCompleted(final SimulatedRequest request) {
        mRequests.remove(request.pending().requestId());
        mSimulation.end(request, Status.COMPLETED);
        finish(request, Completion.ANSWERED);
    }

    @Override
    public void onBroken(final SimulatedRequest request) {
        finishAfterDelay(request, Completion.BROKEN);
    }

    @Override
    public void onAbandoned(final SimulatedRequest request) {
        mRequests.remove(request.pending().requestId());
        mScheduler.cancel(request.pending().requestId(), now());
        schedulePoll();
    }

    @Override
    public void onLoadReport(final LoadReport report) {
        mScheduler.onLoadReport(report, now());
    }

    @Override
    public void onHealthChange(final SimulatedReplica replica, final boolean up) {
        mScheduler.onAvailability(
                replica.id(), up ? ReplicaAvailability.LIVE : ReplicaAvailability.DOWN, now());
        schedulePoll();
    }

    @Override
    public void onDaemonLost(final int daemon) {
        final EventLoop loop = mSimulation.loop();
        loop.scheduleAfter(
                FAILURE_DETECTION_NANOS, () -> updateMembers(Deployment.DAEMONS, daemon, 1));
        loop.scheduleAfter(
                HOST_LIST_CONFIRMATION_NANOS, () -> updateMembers(Deployment.DAEMONS, daemon, 0));
    }

    @Override
    public void onPartition() {
        mPartitioned = true;
        final int unreachable =
                mIndex < FIRST_PARTITION_DAEMONS
                        ? Deployment.DAEMONS - FIRST_PARTITION_DAEMONS
                        : FIRST_PARTITION_DAEMONS;
        mSimulation
                .loop()
                .scheduleAfter(
                        FAILURE_DETECTION_NANOS,
                        () -> updateMembers(Deployment.DAEMONS, -1, unreachable));
    }
}
