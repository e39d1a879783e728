package io.persimmonreel.core.claim;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Runs a fleet of claim managers in virtual time with message loss, delay, partitions, pauses and
 * restarts. It records every violation of "at most once" and every wrong report of an outcome.
 */
final class ClaimFleet {
    static final int SIZE = 7;
    static final long EPOCH_MILLIS = 1_800_000_000_000L;
    static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final byte[] SECRET = "secret".getBytes(StandardCharsets.UTF_8);

    /** Simulates a daemon process with its own wall clock. */
    final class Node implements TimeSource {
        final int mSlot;
        final Incarnation mId;
        ClaimManager mManager;
        long mSkewMillis;
        long mPausedUntilMicros;
        boolean mStopped;

        Node(final int slot, final long skewMillis) {
            mSlot = slot;
            mId = new Incarnation(mRandom.nextLong());
            mSkewMillis = skewMillis;
        }

        @Override
        public long monotonicNanos() {
            return TimeUnit.MICROSECONDS.toNanos(mNowMicros);
        }

        @Override
        public long wallMillis() {
            return trueWallMillis() + mSkewMillis;
        }

        /**
         * Runs an action at once, after a pause of the process, or never if the process has
         * stopped.
         */
        void run(final Runnable action) {
            if (mStopped) {
                return;
            }
            if (mPausedUntilMicros > mNowMicros) {
                scheduleAt(mPausedUntilMicros, () -> run(action));
            } else {
                action.run();
            }
        }

        void tick() {
            mManager.onTimer(monotonicNanos());
            scheduleAfter(100_000, () -> run(this::tick));
        }
    }

    /** Simulates one request of a caller and records its result. */
    final class Call implements ClaimListener {
        final Node mNode;
        final RequestIdentity mIdentity;
        final long mDispatchDelayMicros;
        final boolean mRenounces;
        boolean mReportedNotRun;
        Long mAttempt;
        Problem mProblem;
        String mAnswer;
        int mResultCount;

        Call(
                final Node node,
                final RequestIdentity identity,
                final long dispatchDelayMicros,
                final boolean renounces) {
            mNode = node;
            mIdentity = identity;
            mDispatchDelayMicros = dispatchDelayMicros;
            mRenounces = renounces;
        }

        @Override
        public void onClaimed(final long attempt) {
            mResultCount++;
            mAttempt = attempt;
            if (mDispatchDelayMicros >= 0) {
                scheduleAfter(
                        mDispatchDelayMicros,
                        () -> mNode.run(mRenounces ? this::renounce : this::dispatch));
            }
        }

        @Override
        public void onRefused(final Problem problem) {
            mResultCount++;
            mProblem = problem;
            if (problem.outcome() == Outcome.NOT_RUN) {
                notRun();
            } else if (problem.outcome() == Outcome.RAN && dispatchCount(mIdentity) != 1) {
                mViolations.add(
                        "reported as ran, but number of dispatches is " + dispatchCount(mIdentity));
            }
        }

        @Override
        public void onStoredAnswer(final int status, final String contentType, final byte[] body) {
            mResultCount++;
            mAnswer = new String(body, StandardCharsets.UTF_8);
            if (dispatchCount(mIdentity) != 1) {
                mViolations.add(
                        "replayed an answer, but number of dispatches is "
                                + dispatchCount(mIdentity));
            }
        }

        void renounce() {
            if (mNode.mManager.renounce(mAttempt)) {
                notRun();
            }
        }

        private void notRun() {
            if (dispatchCount(mIdentity) > 0) {
                mViolations.add("reported as not run after dispatch");
            }
            mCalls.stream()
                    .filter(call -> call.mIdentity.equals(mIdentity))
                    .forEach(call -> call.mReportedNotRun = true);
        }

        void dispatch() {
            if (!mNode.mManager.markDispatched(mAttempt)) {
                renounce();
                return;
            }
            mDispatchCounts.merge(mIdentity, 1, Integer::sum);
            if (dispatchCount(mIdentity) > 1) {
                mViolations.add("dispatched twice");
            }
            if (mReportedNotRun) {
                mViolations.add("dispatched after a report of not run");
            }
            scheduleAfter(50_000, () -> mNode.run(this::finish));
        }

        void finish() {
            final byte[] body = ("ran " + mIdentity.key()).getBytes(StandardCharsets.UTF_8);
            mNode.mManager.finish(mAttempt, Outcome.RAN, 200, "text/plain", body);
        }
    }

    private record Event(long micros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = Long.compare(micros, other.micros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    final Random mRandom;
    final Node[] mNodes;
    final List<String> mViolations = new ArrayList<>();
    final List<Call> mCalls = new ArrayList<>();
    double mLossProbability;
    long mDelayRangeMicros = 2_000;
    BiPredicate<Node, PeerMessage> mDropFilter = (to, message) -> false;
    BiPredicate<Integer, Integer> mConnected = (from, to) -> true;
    private final Map<RequestIdentity, Integer> mDispatchCounts = new HashMap<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Map<Incarnation, Node> mNodesById = new HashMap<>();
    private final Configuration mConfiguration;
    private long mNowMicros;
    private long mSequence;

    ClaimFleet(final long seed, final Duration opaqueKeyRepeat) {
        this(seed, opaqueKeyRepeat, SIZE);
    }

    ClaimFleet(final long seed, final Duration opaqueKeyRepeat, final int size) {
        mRandom = new Random(seed);
        mNodes = new Node[size];
        mConfiguration = configuration(opaqueKeyRepeat, size);
        for (int slot = 0; slot < size; slot++) {
            start(slot, mRandom.nextInt(2001) - 1000);
        }
        advance(30_000);
    }

    private static Configuration configuration(final Duration opaqueKeyRepeat, final int size) {
        final FleetSpec fleet =
                new FleetSpec(
                        "test", size, 1, Duration.ofSeconds(2), opaqueKeyRepeat, List.of("a"));
        final ObjectiveSpec objective = new ObjectiveSpec(0.99, DEADLINE, DEADLINE, DEADLINE);
        final ServiceSpec service =
                new ServiceSpec(
                        "s", "u", Tier.URGENT, false, List.of(), DEADLINE, 1024, 0, objective);
        return new Configuration(1, "", "", fleet, Map.of(), Map.of(), Map.of("s", service), 1);
    }

    Node start(final int slot, final long skewMillis) {
        final Node node = new Node(slot, skewMillis);
        node.mManager =
                new ClaimManager(
                        node.mId,
                        slot,
                        node,
                        (to, message) -> send(node, to, message),
                        entry -> {},
                        SECRET);
        node.mManager.configure(mConfiguration);
        mNodes[slot] = node;
        mNodesById.put(node.mId, node);
        scheduleAfter(mRandom.nextInt(100_000), () -> node.run(node::tick));
        for (final Node other : mNodes) {
            if (other != null) {
                // Nodes learn of a change of the live members up to 3 s late.
                scheduleAfter(
                        mRandom.nextInt(3_000_000),
                        () -> other.run(() -> updateLiveMembers(other)));
            }
        }
        return node;
    }

    void updateLiveMembers(final Node node) {
        final Map<Incarnation, Integer> live = new HashMap<>();
        for (final Node other : mNodes) {
            if (other != null && !other.mStopped) {
                live.put(other.mId, other.mSlot);
            }
        }
        node.mManager.updateLiveMembers(live);
    }

    void stop(final int slot) {
        mNodes[slot].mStopped = true;
    }

    Node restart(final int slot) {
        stop(slot);
        return start(slot, mNodes[slot].mSkewMillis);
    }

    void pause(final int slot, final long millis) {
        mNodes[slot].mPausedUntilMicros = mNowMicros + millis * 1000;
    }

    private void send(final Node from, final Incarnation to, final PeerMessage message) {
        final Node node = mNodesById.get(to);
        if (node == null
                || mRandom.nextDouble() < mLossProbability
                || mDropFilter.test(node, message)) {
            return;
        }
        scheduleAfter(
                200 + mRandom.nextInt((int) mDelayRangeMicros),
                () -> {
                    if (mConnected.test(from.mSlot, node.mSlot)) {
                        node.run(() -> node.mManager.onMessage(from.mId, message));
                    }
                });
    }

    Call call(final int slot, final RequestIdentity identity, final String digest) {
        return call(slot, identity, digest, 5_000, false);
    }

    Call call(
            final int slot,
            final RequestIdentity identity,
            final String digest,
            final long dispatchDelayMicros,
            final boolean renounces) {
        final Node node = mNodes[slot];
        final Call call = new Call(node, identity, dispatchDelayMicros, renounces);
        node.run(
                () -> {
                    mCalls.add(call);
                    node.mManager.begin(
                            "r" + mCalls.size(),
                            identity,
                            digest,
                            node.monotonicNanos() + DEADLINE.toNanos(),
                            call);
                });
        return call;
    }

    /** Creates an identity whose key is a version 7 UUID of a given time. */
    RequestIdentity uuidIdentity(final long wallMillis) {
        final String time = String.format("%012x", wallMillis);
        return identity(
                String.format(
                        "%s-%s-7%03x-8%03x-%012x",
                        time.substring(0, 8),
                        time.substring(8),
                        mRandom.nextInt(1 << 12),
                        mRandom.nextInt(1 << 12),
                        mRandom.nextLong() & 0xffffffffffffL));
    }

    static RequestIdentity identity(final String key) {
        return new RequestIdentity("c", "s", key);
    }

    int dispatchCount(final RequestIdentity identity) {
        return mDispatchCounts.getOrDefault(identity, 0);
    }

    long trueWallMillis() {
        return EPOCH_MILLIS + mNowMicros / 1000;
    }

    void scheduleAt(final long micros, final Runnable action) {
        mEvents.add(new Event(micros, mSequence++, action));
    }

    void scheduleAfter(final long micros, final Runnable action) {
        scheduleAt(mNowMicros + micros, action);
    }

    void advance(final long millis) {
        final long end = mNowMicros + millis * 1000;
        while (!mEvents.isEmpty() && mEvents.peek().micros() <= end) {
            final Event event = mEvents.poll();
            mNowMicros = event.micros();
            event.action().run();
        }
        mNowMicros = end;
    }
}
