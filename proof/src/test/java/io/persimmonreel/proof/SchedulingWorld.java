package io.persimmonreel.proof;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.ExampleTexts;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.schedule.DaemonScheduler;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.schedule.PendingRequest;
import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Runs the schedulers of several daemons over engines of one slot each, in steps of 10 ms. */
final class SchedulingWorld {
    static final long STEP_NANOS = 10_000_000L;
    private static final long HEARTBEAT_STEPS = 50;

    /** Contains a request and the progress of its stream. */
    private static final class Stream {
        private final int mDaemon;
        private final Tier mTier;
        private final int mTokens;
        private int mTokensDone;
        private String mReplica = "";
        private boolean mRunning;

        Stream(final int daemon, final Tier tier, final int tokens) {
            mDaemon = daemon;
            mTier = tier;
            mTokens = tokens;
        }
    }

    private final Configuration mConfiguration;
    private final Map<Integer, DaemonScheduler> mDaemons = new TreeMap<>();
    private final Map<String, Stream> mStreams = new LinkedHashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private final Map<Tier, Integer> mAnsweredByTier = new TreeMap<>();
    private final Map<Tier, Integer> mRefusedByTier = new TreeMap<>();
    private long mStep;
    private int mNextId;

    SchedulingWorld(final int daemons) throws IOException, ConfigurationException {
        final String text =
                ExampleTexts.load("saaf-paws").replaceAll("concurrency: \\d+", "concurrency: 1");
        mConfiguration = new OperatorTextParser().parse("saaf-paws.yaml", 1, text);
        for (int slot = 1; slot <= daemons; slot++) {
            final DaemonScheduler daemon =
                    new DaemonScheduler(new Incarnation(slot), slot, record -> {});
            daemon.configure(mConfiguration, 0);
            mDaemons.put(slot, daemon);
        }
        updateMembers();
    }

    private void updateMembers() {
        final List<Incarnation> live =
                mDaemons.keySet().stream().map(slot -> new Incarnation(slot)).toList();
        mDaemons.values().forEach(daemon -> daemon.onMembers(live, 0, now()));
    }

    private long now() {
        return mStep * STEP_NANOS;
    }

    void offer(final int slot, final String service, final int tokens) {
        final ServiceSpec spec = mConfiguration.services().get(service);
        final String id = "r" + mNextId++;
        mStreams.put(id, new Stream(slot, spec.tier(), tokens));
        final PendingRequest request =
                new PendingRequest(
                        id,
                        "kiosks-lahore",
                        service,
                        spec.tier(),
                        now(),
                        now() + spec.deadline().toNanos(),
                        20,
                        tokens,
                        0,
                        0,
                        Set.of(),
                        false);
        mDaemons.get(slot).offer(request, now());
    }

    void kill(final int slot) {
        mDaemons.remove(slot);
        mStreams.values().removeIf(stream -> stream.mDaemon == slot);
        updateMembers();
    }

    /** Crashes a replica: its streams break, and it stays unreachable. */
    void crash(final String replica) {
        mDaemons.values().forEach(d -> d.onAvailability(replica, ReplicaAvailability.DOWN, now()));
        Map.copyOf(mStreams).entrySet().stream()
                .filter(e -> e.getValue().mReplica.equals(replica))
                .forEach(e -> finish(e.getKey(), e.getValue(), Completion.FAILED));
    }

    void run(final int steps) {
        for (int i = 0; i < steps; i++) {
            mStep++;
            advance();
            Map.copyOf(mDaemons).forEach(this::poll);
            if (mStep % HEARTBEAT_STEPS == 0) {
                mDaemons.forEach(this::sendHeartbeat);
            }
        }
    }

    private void advance() {
        Map.copyOf(mStreams)
                .forEach(
                        (id, stream) -> {
                            if (stream.mRunning && ++stream.mTokensDone >= stream.mTokens) {
                                finish(id, stream, Completion.ANSWERED);
                            } else if (stream.mRunning) {
                                mDaemons.get(stream.mDaemon)
                                        .onTokens(id, stream.mTokensDone, now());
                            }
                        });
    }

    private void finish(final String id, final Stream stream, final Completion completion) {
        mStreams.remove(id);
        mDaemons.get(stream.mDaemon).onFinished(id, completion, now());
        if (completion == Completion.ANSWERED) {
            mAnsweredByTier.merge(stream.mTier, 1, Integer::sum);
        }
    }

    private void poll(final int slot, final DaemonScheduler daemon) {
        for (final Directive directive : daemon.poll(now())) {
            if (directive instanceof Directive.Dispatch dispatch) {
                startStream(dispatch.requestId(), dispatch.replica());
            } else if (directive instanceof Directive.Resume resume) {
                startStream(resume.requestId(), resume.replica());
            } else if (directive instanceof Directive.Pause pause) {
                mStreams.get(pause.requestId()).mRunning = false;
            } else if (directive instanceof Directive.Publish publish) {
                sendShedNotice(slot, publish.notice());
            } else if (directive instanceof Directive.Refuse refuse) {
                onRefused(mStreams.remove(refuse.requestId()), refuse);
            }
        }
    }

    private void startStream(final String id, final String replica) {
        mStreams.get(id).mReplica = replica;
        mStreams.get(id).mRunning = true;
    }

    private void onRefused(final Stream refused, final Directive.Refuse refuse) {
        mRefusedByTier.merge(refused.mTier, 1, Integer::sum);
        final long lower =
                mStreams.values().stream()
                        .filter(s -> s.mRunning && refused.mTier.isHigherThan(s.mTier))
                        .count();
        if (lower > 0) {
            mViolations.add(
                    refuse
                            + " of tier "
                            + refused.mTier
                            + " while "
                            + lower
                            + " requests of lower tiers ran");
        }
    }

    private void sendShedNotice(final int from, final ShedNotice notice) {
        mDaemons.forEach(
                (slot, peer) -> {
                    if (slot != from) {
                        peer.onShedNotice(new Incarnation(from), notice, now());
                    }
                });
    }

    private void sendHeartbeat(final int from, final DaemonScheduler daemon) {
        daemon.raisedThresholds(now()).forEach(notice -> sendShedNotice(from, notice));
        mDaemons.forEach(
                (slot, peer) -> {
                    if (slot != from) {
                        peer.onPeerLoad(new Incarnation(from), daemon.load(now()), now());
                    }
                });
    }

    List<String> violations() {
        return mViolations;
    }

    int answered(final Tier tier) {
        return mAnsweredByTier.getOrDefault(tier, 0);
    }

    int refused(final Tier tier) {
        return mRefusedByTier.getOrDefault(tier, 0);
    }

    int unfinished() {
        return mStreams.size();
    }
}
