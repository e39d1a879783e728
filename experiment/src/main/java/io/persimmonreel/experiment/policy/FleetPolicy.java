package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.schedule.DaemonScheduler;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.schedule.LoadReport;
import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.experiment.policy.SimRequest.End;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Runs the scheduler of one daemon and exchanges load and shed notices with the others. */
final class FleetPolicy implements Policy {
    private static final long POLL_NANOS = 10_000_000L;
    private static final long HEARTBEAT_NANOS = 500_000_000L;
    private static final long DEAD_NANOS = 5_000_000_000L;
    private static final long LIST_CONFIRMS_NANOS = 30_000_000_000L;
    private static final long CONNECT_NANOS = 1_000_000L;
    private static final double IMPORT_NANOS_PER_TOKEN = 5000;
    private static final int FIRST_SIDE = 4;

    private final World mWorld;
    private final int mIndex;
    private final DaemonScheduler mScheduler;
    private final SplittableRandom mRandom;
    private final Map<String, SimRequest> mRequests = new HashMap<>();
    private boolean mPollDue;
    private boolean mPartitioned;

    FleetPolicy(final World world, final int index, final long seed) {
        mWorld = world;
        mIndex = index;
        mRandom = new SplittableRandom(seed + index);
        mScheduler = new DaemonScheduler(incarnation(index), seed + index, record -> {});
    }

    private static Incarnation incarnation(final int index) {
        return new Incarnation(index + 1);
    }

    private long now() {
        return mWorld.loop().nowNanos();
    }

    @Override
    public void start() {
        mScheduler.configure(mWorld.configuration(), 0);
        members(User.DAEMONS, -1, 0);
        final long end = mWorld.times().endNanos();
        mWorld.loop().every(mIndex * 1_000_000L, POLL_NANOS, end, this::poll);
        final long offset = mIndex * HEARTBEAT_NANOS / User.DAEMONS;
        mWorld.loop().every(offset, HEARTBEAT_NANOS, end, this::heartbeat);
    }

    private void members(final int count, final int without, final int unconfirmed) {
        final List<Incarnation> live = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (i != without && reaches(i)) {
                live.add(incarnation(i));
            }
        }
        mScheduler.onMembers(live, unconfirmed, now());
    }

    private boolean reaches(final int other) {
        return !mPartitioned || (mIndex < FIRST_SIDE) == (other < FIRST_SIDE);
    }

    private interface Message {
        void deliver(FleetPolicy peer);
    }

    private void toPeers(final Message message) {
        if (mWorld.isLost(mIndex)) {
            return;
        }
        for (final Policy other : mWorld.daemons()) {
            final FleetPolicy peer = (FleetPolicy) other;
            if (peer != this && !mWorld.isLost(peer.mIndex) && reaches(peer.mIndex)) {
                final long delay = 1_000_000L + mRandom.nextInt(1_000_000);
                mWorld.loop().after(delay, () -> message.deliver(peer));
            }
        }
    }

    private void heartbeat() {
        final List<PeerLoad> load = mScheduler.load(now());
        final List<ShedNotice> floors = mScheduler.floors(now());
        toPeers(
                peer -> {
                    peer.mScheduler.onPeerLoad(incarnation(mIndex), load, now());
                    floors.forEach(floor -> peer.shed(mIndex, floor));
                });
    }

    private void shed(final int from, final ShedNotice notice) {
        mScheduler.onShedNotice(incarnation(from), notice, now());
        pollSoon();
    }

    @Override
    public void onArrival(final SimRequest request) {
        mRequests.put(request.pending().requestId(), request);
        mScheduler.offer(request.pending(), now());
        pollSoon();
    }

    private void pollSoon() {
        if (!mPollDue) {
            mPollDue = true;
            mWorld.loop().after(0, this::poll);
        }
    }

    private void poll() {
        mPollDue = false;
        if (mWorld.isLost(mIndex)) {
            return;
        }
        for (final Directive directive : mScheduler.poll(now())) {
            carryOut(directive);
        }
    }

    private void carryOut(final Directive directive) {
        if (directive instanceof Directive.Dispatch dispatch) {
            final SimRequest request = mRequests.get(dispatch.requestId());
            if (!mWorld.replica(dispatch.replica()).submit(request)) {
                later(request, Completion.NOT_SENT);
            }
        } else if (directive instanceof Directive.Refuse refuse) {
            final SimRequest request = mRequests.remove(refuse.requestId());
            mWorld.end(request, End.REFUSED);
        } else if (directive instanceof Directive.Pause pause) {
            final SimRequest request = mRequests.get(pause.requestId());
            request.mPauseAfterImport = request.mImporting;
            mWorld.replica(pause.replica()).pause(request);
        } else if (directive instanceof Directive.Resume resume) {
            resume(resume);
        } else if (directive instanceof Directive.Publish publish) {
            toPeers(peer -> peer.shed(mIndex, publish.notice()));
        }
    }

    private void resume(final Directive.Resume resume) {
        final SimRequest request = mRequests.get(resume.requestId());
        final ReplicaFake replica = mWorld.replica(resume.replica());
        request.mReplica = replica;
        if (request.mImporting) {
            request.mPauseAfterImport = false;
        } else if (!resume.importFrom().isEmpty()) {
            importCache(request, mWorld.replica(resume.importFrom()));
        } else if (!replica.resume(request)) {
            later(request, Completion.BROKEN);
        }
    }

    /** Moves the KV cache; the stream goes on at the replica that was named last. */
    private void importCache(final SimRequest request, final ReplicaFake from) {
        from.cancel(request);
        request.mImporting = true;
        final int tokens = request.pending().promptTokens() + request.mGenerated;
        mWorld.loop()
                .after(
                        (long) (tokens * IMPORT_NANOS_PER_TOKEN),
                        () -> {
                            request.mImporting = false;
                            if (request.isOpen()) {
                                request.mReplica.adopt(request);
                                if (request.mPauseAfterImport) {
                                    request.mPauseAfterImport = false;
                                    request.mReplica.pause(request);
                                }
                            }
                        });
    }

    private void later(final SimRequest request, final Completion completion) {
        mWorld.loop()
                .after(
                        CONNECT_NANOS,
                        () -> {
                            if (request.isOpen()) {
                                finished(request, completion);
                            }
                        });
    }

    private void finished(final SimRequest request, final Completion completion) {
        mScheduler.onFinished(request.pending().requestId(), completion, now());
        pollSoon();
    }

    @Override
    public void onToken(final SimRequest request) {
        mScheduler.onTokens(request.pending().requestId(), request.mGenerated, now());
    }

    @Override
    public void onDone(final SimRequest request) {
        mRequests.remove(request.pending().requestId());
        mWorld.end(request, End.WHOLE);
        finished(request, Completion.ANSWERED);
    }

    @Override
    public void onBroken(final SimRequest request) {
        later(request, Completion.BROKEN);
    }

    @Override
    public void onAbandoned(final SimRequest request) {
        mRequests.remove(request.pending().requestId());
        mScheduler.cancel(request.pending().requestId(), now());
        pollSoon();
    }

    @Override
    public void onReport(final LoadReport report) {
        mScheduler.onLoadReport(report, now());
    }

    @Override
    public void onHealth(final ReplicaFake replica, final boolean up) {
        mScheduler.onAvailability(
                replica.id(), up ? ReplicaAvailability.LIVE : ReplicaAvailability.DOWN, now());
        pollSoon();
    }

    @Override
    public void onDaemonLost(final int daemon) {
        final EventLoop loop = mWorld.loop();
        loop.after(DEAD_NANOS, () -> members(User.DAEMONS, daemon, 1));
        loop.after(LIST_CONFIRMS_NANOS, () -> members(User.DAEMONS, daemon, 0));
    }

    @Override
    public void onPartition() {
        mPartitioned = true;
        final int others = mIndex < FIRST_SIDE ? User.DAEMONS - FIRST_SIDE : FIRST_SIDE;
        mWorld.loop().after(DEAD_NANOS, () -> members(User.DAEMONS, -1, others));
    }
}
