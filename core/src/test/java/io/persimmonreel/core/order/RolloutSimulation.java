package io.persimmonreel.core.order;

import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.time.ManualTime;
import io.persimmonreel.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/** Simulates the order planners of several daemons and the engines that they control. */
final class RolloutSimulation {
    static final int REPLICAS = 12;
    static final long TICK_MILLIS = 250;

    /** An engine that reports its old model, or none, until a load is done. */
    static final class Engine {
        private final String mId;
        private final boolean mChecksFencing;
        private final boolean mReportsOldModel;
        private String mLoadedVersion = "3";
        private String mOrderedVersion = "3";
        private long mFence = 10;
        private long mReadyMillis;

        Engine(final int number, final boolean checksFencing, final boolean reportsOldModel) {
            mId = "assistant-" + number;
            mChecksFencing = checksFencing;
            mReportsOldModel = reportsOldModel;
        }

        String describe() {
            return mId
                    + " "
                    + mLoadedVersion
                    + ">"
                    + mOrderedVersion
                    + " "
                    + mFence
                    + " "
                    + mReportsOldModel
                    + ";";
        }

        boolean isLoading() {
            return !mLoadedVersion.equals(mOrderedVersion);
        }

        String id() {
            return mId;
        }

        String loaded() {
            return mLoadedVersion;
        }

        private ReportedModel report() {
            final boolean none = isLoading() && !mReportsOldModel;
            return new ReportedModel(
                    mId, none ? "" : "kiosk-assistant", none ? "" : mLoadedVersion, mFence);
        }

        private boolean receive(final EngineOrder order, final long now, final long loadMillis) {
            if (mChecksFencing && order.fence() < mFence) {
                return false;
            }
            mFence = order.fence();
            final boolean starts = !order.modelVersion().equals(mOrderedVersion);
            if (starts) {
                mOrderedVersion = order.modelVersion();
                mReadyMillis = now + loadMillis;
            }
            return starts;
        }
    }

    /** A daemon with its own clock. */
    static final class Daemon {
        final Incarnation mSelf;
        final OrderPlanner mPlanner;
        final ConfigurationState mState;
        long mPausedUntilMillis;

        Daemon(final long id, final TimeSource time) {
            mState = new ConfigurationState(time, r -> {});
            mSelf = new Incarnation(id);
            mPlanner = new OrderPlanner(mSelf, time, mState, r -> {});
        }
    }

    private record Event(long atMillis, Runnable action) {}

    private record SkewedTime(TimeSource time, long skewMillis) implements TimeSource {
        @Override
        public long monotonicNanos() {
            return time.monotonicNanos();
        }

        @Override
        public long wallMillis() {
            return time.wallMillis() + skewMillis;
        }
    }

    final List<Engine> mEngines = new ArrayList<>();
    final List<Daemon> mDaemons = new ArrayList<>();
    final List<String> mLoadEvents = new ArrayList<>();
    final List<Long> mLoadStarts = new ArrayList<>();
    private final ManualTime mTime = new ManualTime();
    private final Random mRandom;
    private final long mLoadMillis;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));

    RolloutSimulation(final long seed, final boolean checksFencing) {
        mRandom = new Random(seed);
        mLoadMillis = 5_000 + mRandom.nextInt(115_000);
        for (int i = 1; i <= REPLICAS; i++) {
            mEngines.add(new Engine(i, checksFencing, mRandom.nextBoolean()));
        }
    }

    long now() {
        return mTime.monotonicNanos() / 1_000_000;
    }

    Random random() {
        return mRandom;
    }

    void at(final long millis, final Runnable action) {
        mEvents.add(new Event(millis, action));
    }

    /** Starts a daemon and tells all daemons about it. */
    Daemon startDaemon() {
        final long skew = mRandom.nextInt(2001) - 1000;
        final Daemon daemon = new Daemon(mRandom.nextLong(), new SkewedTime(mTime, skew));
        mDaemons.add(daemon);
        updateMembers(mDaemons);
        return daemon;
    }

    /** Tells some daemons that they are the live members. */
    void updateMembers(final List<Daemon> daemons) {
        final List<Incarnation> live = new ArrayList<>();
        daemons.forEach(n -> live.add(n.mSelf));
        daemons.forEach(n -> n.mPlanner.updateMembers(live, 0));
    }

    /** Offers a configuration to every daemon after a random delay. */
    void offerConfiguration(final long version, final String text) {
        for (final Daemon daemon : mDaemons) {
            at(
                    Math.max(now() + mRandom.nextInt(5_000), daemon.mPausedUntilMillis),
                    () -> daemon.mState.offer("service", version, text));
        }
    }

    void tick() {
        mTime.advance(Duration.ofMillis(TICK_MILLIS));
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= now()) {
            mEvents.remove().action().run();
        }
        for (final Engine engine : mEngines) {
            if (engine.isLoading() && engine.mReadyMillis <= now()) {
                engine.mLoadedVersion = engine.mOrderedVersion;
            }
        }
        for (final Daemon daemon : mDaemons) {
            if (daemon.mPausedUntilMillis <= now() && mRandom.nextBoolean()) {
                mEngines.forEach(engine -> poll(daemon, engine));
            }
        }
    }

    private void poll(final Daemon daemon, final Engine engine) {
        final Optional<EngineOrder> order = daemon.mPlanner.onReport(engine.report());
        order.ifPresent(o -> deliver(engine, o));
    }

    void deliver(final Engine engine, final EngineOrder order) {
        if (engine.receive(order, now(), mLoadMillis)) {
            mLoadStarts.add(now());
            mLoadEvents.add(now() + " " + order.replica() + " " + order.modelVersion());
        }
    }

    @Override
    public String toString() {
        return now()
                + ": "
                + mLoadEvents
                + "\n"
                + String.join(" ", mEngines.stream().map(Engine::describe).toList())
                + "\n"
                + mDaemons.stream()
                        .map(n -> n.mState.version() + " " + n.mPausedUntilMillis)
                        .toList();
    }

    long loading() {
        return mEngines.stream().filter(Engine::isLoading).count();
    }

    /** Counts the engines that a daemon sends requests to and that are not loading. */
    long capacity(final Daemon daemon) {
        return mEngines.stream()
                .filter(e -> !e.isLoading() && daemon.mPlanner.mayServe(e.id()))
                .count();
    }

    /** Returns the most loads that started within any minute. */
    long mostLoadsInAMinute() {
        long most = 0;
        for (final long start : mLoadStarts) {
            most =
                    Math.max(
                            most,
                            mLoadStarts.stream()
                                    .filter(t -> t >= start && t < start + 60_000)
                                    .count());
        }
        return most;
    }
}
