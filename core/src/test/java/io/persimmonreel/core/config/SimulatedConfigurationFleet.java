package io.persimmonreel.core.config;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import io.persimmonreel.core.peer.PeerMessage.ConfigRequest;
import io.persimmonreel.core.time.ManualTime;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;

/** Simulates daemons that exchange configurations in virtual time over a lossy network. */
final class SimulatedConfigurationFleet {
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    final ManualTime mTime = new ManualTime();
    final List<Node> mNodes = new ArrayList<>();
    long mPartBytes;
    long mDeltaParts;
    private final Random mRandom;
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private double mLossShare;
    private BiPredicate<Integer, Integer> mLinked = (a, b) -> true;

    SimulatedConfigurationFleet(final int size, final long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < size; i++) {
            mNodes.add(new Node(i));
        }
    }

    final class Node {
        final ConfigurationState mState = new ConfigurationState(mTime, r -> {});
        final ConfigurationExchange mExchange;
        final List<Long> mApplied = new ArrayList<>();

        Node(final int index) {
            mExchange =
                    new ConfigurationExchange(
                            mState,
                            (to, message) -> transmit(index, (int) to.id(), message),
                            mTime,
                            r -> {});
            mState.subscribe(c -> mApplied.add(c.version()));
        }
    }

    void setMessageLoss(final double share) {
        mLossShare = share;
    }

    void setLinks(final BiPredicate<Integer, Integer> linked) {
        mLinked = linked;
    }

    void restart(final int index) {
        mNodes.set(index, new Node(index));
    }

    ConfigurationState state(final int index) {
        return mNodes.get(index).mState;
    }

    List<Long> versions() {
        return mNodes.stream().map(n -> n.mState.version()).toList();
    }

    private void transmit(final int from, final int to, final PeerMessage message) {
        if (message instanceof ConfigPart part) {
            mPartBytes += part.data().length;
            mDeltaParts += part.baseDigest().isEmpty() ? 0 : 1;
        }
        if (mLinked.test(from, to) && mRandom.nextDouble() >= mLossShare) {
            mQueue.add(() -> deliver(new Incarnation(from), mNodes.get(to), message));
        }
    }

    private static void deliver(final Incarnation from, final Node to, final PeerMessage message) {
        if (message instanceof ConfigRequest request) {
            to.mExchange.onRequest(from, request);
        } else if (message instanceof ConfigPart part) {
            to.mExchange.onPart(from, part);
        }
    }

    /** Sends heartbeats between all pairs of daemons for a time. */
    void run(final Duration time) {
        for (long t = 0; t < time.toMillis(); t += HEARTBEAT_INTERVAL.toMillis()) {
            for (int from = 0; from < mNodes.size(); from++) {
                for (int to = 0; to < mNodes.size(); to++) {
                    heartbeat(from, to);
                }
            }
            while (!mQueue.isEmpty()) {
                mQueue.poll().run();
            }
            mTime.advance(HEARTBEAT_INTERVAL);
        }
    }

    private void heartbeat(final int from, final int to) {
        if (from != to && mLinked.test(from, to) && mRandom.nextDouble() >= mLossShare) {
            final ConfigurationState state = state(from);
            final Node node = mNodes.get(to);
            final long version = state.version();
            final String digest = state.digest();
            mQueue.add(() -> node.mExchange.onHeartbeat(new Incarnation(from), version, digest));
        }
    }
}
