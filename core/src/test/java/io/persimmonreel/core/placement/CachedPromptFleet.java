package io.persimmonreel.core.placement;

import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.admission.PlaceForecast;
import io.persimmonreel.core.admission.QueuePosition;
import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.admission.TimeLeft;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize.PromptPart;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates, in virtual time, 59 daemons and 42 engines that keep prompt parts in a bounded memory.
 *
 * <p>Engines differ in speed from 0.55 to 2.8 times the usual time, process prompts one after
 * another between tokens, and evict the least recently used parts. Reports of the load of other
 * daemons are 0.4 to 1.2 s late, and slots are divided among daemons.
 */
final class CachedPromptFleet {
    private static final int DAEMONS = 59;
    private static final int ENGINES = 42;
    private static final int SLOTS = 10;
    private static final long MEMORY_TOKENS = 500_816;
    private static final double STEP_MILLIS = 3.09;
    private static final double STEP_MILLIS_PER_REQUEST = 0.4;
    private static final double PROMPT_TOKENS_PER_MILLI = 61.8;
    private static final double FASTEST = 0.55;
    private static final double SLOWEST = 2.8;
    private static final int TICK_MILLIS = 5;
    private static final int WARM_UP_MILLIS = 5_000;
    private static final int SEND_INTERVAL_MILLIS = 40;
    private static final int REPORT_MILLIS = 100;
    private static final int MINIMUM_REPORT_AGE = 4;
    private static final int MAXIMUM_REPORT_AGE = 12;

    /** The shortest prompt whose prefill time is measured, as in the daemon. */
    private static final int LONG_PROMPT_TOKENS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final SplittableRandom mRandom;
    private final Scenario mScenario;
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Deque<int[][]> mReports = new ArrayDeque<>();
    private final Set<Long> mReadParts = new HashSet<>();
    private final List<Double> mFirstMillis = new ArrayList<>();
    private Result mResult = new Result();
    private double mNowMillis;

    /** The streams of the bank in hard-load.md. */
    private enum Kind {
        REVIEW(6_610, 48 * 8, 819, 12_292, 74.8),
        CHAT(628, 36 * 8, 408, 12_239, 219),
        LABEL(1_800, 3 * 8, 510, 3_057, 125);

        private final int mPrompt;
        private final int mOutput;
        private final double mObjective;
        private final double mDeadline;
        private final double mPerSecond;

        Kind(
                final int prompt,
                final int output,
                final double objective,
                final double deadline,
                final double perSecond) {
            mPrompt = prompt;
            mOutput = output;
            mObjective = objective;
            mDeadline = deadline;
            mPerSecond = perSecond;
        }
    }

    /**
     * Describes the load.
     *
     * @param load the rate of requests relative to that of the bank
     * @param repeated the fraction of requests whose prompt is that of one of the sessions
     * @param sessions the number of sessions of each kind
     * @param bounded whether the daemons know the memory of the engines
     */
    record Scenario(double load, double repeated, int sessions, boolean bounded) {}

    /** Holds what callers and engines saw. */
    static final class Result {
        private int mRequests;
        private int mServed;
        private int mOnTime;
        private long mReadTokens;
        private long mReadAgainTokens;
        private long mFoundTokens;
        private double mBusiestToMean;
        private double mMeanFirstMillis;
        private double mTailFirstMillis;

        double onTimeShare() {
            return (double) mOnTime / mRequests;
        }

        double servedShare() {
            return (double) mServed / mRequests;
        }

        long readTokens() {
            return mReadTokens;
        }

        double meanFirstMillis() {
            return mMeanFirstMillis;
        }

        double busiestToMean() {
            return mBusiestToMean;
        }

        @Override
        public String toString() {
            return String.format(
                    "requests %d served %.3f on time %.3f, first event mean %.0f p95 %.0f ms,"
                            + " tokens read %.2f M, again %.2f M, found %.2f M, busiest/mean %.2f",
                    mRequests,
                    servedShare(),
                    onTimeShare(),
                    mMeanFirstMillis,
                    mTailFirstMillis,
                    mReadTokens / 1e6,
                    mReadAgainTokens / 1e6,
                    mFoundTokens / 1e6,
                    mBusiestToMean);
        }
    }

    /** Contains the state of one request. */
    private static final class Request {
        private final Kind mKind;
        private final WorkSize mWork;
        private final double mArrivedMillis;
        private final double mOutput;
        private double mPromptLeft;
        private double mOutputLeft;
        private double mFirstEventMillis = -1;
        private double mSentMillis;
        private RunForecast mRun;
        private Choice mChoice;
        private Daemon mDaemon;

        Request(final Kind kind, final WorkSize work, final double arrived, final double output) {
            mKind = kind;
            mWork = work;
            mArrivedMillis = arrived;
            mOutput = output;
            mOutputLeft = output;
        }
    }

    /** Simulates an engine with its memory. */
    private final class Engine {
        private final ReplicaEntry mEntry;
        private final double mSlowdown;
        private final List<Request> mRunning = new ArrayList<>();
        private final Deque<Request> mQueue = new ArrayDeque<>();
        private final Map<Long, Integer> mHeld = new LinkedHashMap<>();
        private long mHeldTokens;
        private long mRunningTokens;
        private double mBusyMillis;

        Engine(final int number, final double slowdown) {
            mEntry = new ReplicaEntry("e" + number, "llm", "10.0.0.1", 1, "z", SLOTS, false, 1);
            mSlowdown = slowdown;
        }

        void tick() {
            while (mRunning.size() < SLOTS && !mQueue.isEmpty()) {
                start(mQueue.poll());
            }
            double millis = TICK_MILLIS;
            for (final Request request : mRunning) {
                final double tokens =
                        Math.min(request.mPromptLeft, millis * PROMPT_TOKENS_PER_MILLI / mSlowdown);
                request.mPromptLeft -= tokens;
                millis -= tokens * mSlowdown / PROMPT_TOKENS_PER_MILLI;
            }
            final double step = (STEP_MILLIS + STEP_MILLIS_PER_REQUEST * mRunning.size());
            final double tokens = Math.max(millis, TICK_MILLIS * 0.25) / (step * mSlowdown);
            final Iterator<Request> all = mRunning.iterator();
            while (all.hasNext()) {
                final Request request = all.next();
                if (request.mPromptLeft > 0) {
                    continue;
                }
                request.mOutputLeft -= tokens;
                if (request.mFirstEventMillis < 0) {
                    request.mFirstEventMillis = mNowMillis;
                    request.mDaemon.onFirst(request, this);
                }
                if (request.mOutputLeft <= 0) {
                    all.remove();
                    mRunningTokens -= request.mWork.promptTokens() + (long) request.mOutput;
                    request.mDaemon.onEnd(request);
                }
            }
        }

        private void start(final Request request) {
            int found = 0;
            boolean held = true;
            for (final PromptPart part : request.mWork.parts()) {
                held = held && mHeld.containsKey(part.hash());
                if (held) {
                    found += part.tokens();
                } else if (!mReadParts.add(part.hash())) {
                    mResult.mReadAgainTokens += part.tokens();
                }
            }
            request.mPromptLeft = request.mWork.promptTokens() - found;
            mResult.mFoundTokens += found;
            mResult.mReadTokens += (long) request.mPromptLeft;
            mBusyMillis +=
                    mSlowdown
                            * (request.mPromptLeft / PROMPT_TOKENS_PER_MILLI
                                    + request.mOutput * STEP_MILLIS / SLOTS);
            mRunning.add(request);
            mRunningTokens += request.mWork.promptTokens() + (long) request.mOutput;
            for (int i = request.mWork.parts().size() - 1; i >= 0; i--) {
                final PromptPart part = request.mWork.parts().get(i);
                final Integer before = mHeld.remove(part.hash());
                mHeld.put(part.hash(), part.tokens());
                mHeldTokens += part.tokens() - (before == null ? 0 : before);
            }
            final Iterator<Integer> eldest = mHeld.values().iterator();
            while (mHeldTokens + mRunningTokens > MEMORY_TOKENS && eldest.hasNext()) {
                mHeldTokens -= eldest.next();
                eldest.remove();
            }
        }
    }

    /** Simulates a daemon, which sends requests by its own view of the load. */
    private final class Daemon {
        private final int mReportAge = mRandom.nextInt(MINIMUM_REPORT_AGE, MAXIMUM_REPORT_AGE + 1);
        private final List<Replica> mReplicas = new ArrayList<>();
        private final PromptCacheEstimate mPromptCache =
                mScenario.bounded()
                        ? new PromptCacheEstimate(upstream -> MEMORY_TOKENS)
                        : new PromptCacheEstimate();
        private final Placement mPlacement;
        private final SlotShares mShares;
        private final List<Request> mWaiting = new ArrayList<>();

        Daemon(final int number) {
            mPlacement = new Placement(mPromptCache, mRandom.nextLong());
            mEngines.forEach(engine -> mReplicas.add(new Replica(engine.mEntry)));
            final List<String> others = new ArrayList<>();
            for (int i = 0; i < DAEMONS; i++) {
                others.add("d" + i);
            }
            mShares = SlotShares.divide("d" + number, others, DAEMONS, Map.of("llm", mReplicas));
            mPlacement.onShares(mShares);
        }

        void submit(final Request request) {
            request.mRun = mPlacement.fastestRun(request.mWork, mReplicas);
            mWaiting.add(request);
            sendWaiting();
        }

        void sendWaiting() {
            if (mWaiting.isEmpty()) {
                return;
            }
            mWaiting.sort(
                    Comparator.comparing(
                            r -> QueuePosition.of(timeLeft(r), r.mRun, r.mKind.ordinal())));
            final UpstreamCapacity capacity =
                    UpstreamCapacity.of(
                            mReplicas,
                            mShares,
                            DAEMONS,
                            mWaiting.get(0).mRun.totalMillis(),
                            nowNanos());
            double aheadMillis = 0;
            final Iterator<Request> all = mWaiting.iterator();
            while (all.hasNext()) {
                final Request request = all.next();
                if (send(request, capacity.forecast(aheadMillis))) {
                    all.remove();
                } else {
                    aheadMillis += request.mRun.totalMillis();
                }
            }
        }

        /** Sends or refuses a request; callers don't return after a refusal. */
        private boolean send(final Request request, final PlaceForecast place) {
            final TimeLeft left = timeLeft(request);
            final Optional<Choice> chosen =
                    mPlacement.choose(
                            request.mWork, mReplicas, Set.of(), left.deadlineMillis(), nowNanos());
            if (chosen.isEmpty()) {
                return false;
            }
            final Choice choice = chosen.get();
            request.mRun = choice.run();
            switch (Admission.decide(left, choice.forecast(), place, choice.run())) {
                case SEND:
                    request.mChoice = choice;
                    request.mDaemon = this;
                    request.mSentMillis = mNowMillis;
                    choice.replica().onSent(choice.prefillTokens());
                    mEngines.get(mReplicas.indexOf(choice.replica())).mQueue.add(request);
                    return true;
                case REFUSE:
                    return true;
                default:
                    return false;
            }
        }

        void onFirst(final Request request, final Engine engine) {
            final Choice choice = request.mChoice;
            final Replica replica = choice.replica();
            final double first = mNowMillis - request.mSentMillis;
            replica.onPrefilled(choice.prefillTokens());
            replica.onPredictionError(first - choice.firstMillis());
            mPromptCache.onPrefill(request.mWork, replica, nowNanos());
            mPromptCache.onFirstEvent(choice, first);
            if (choice.waitMillis() <= 0
                    && choice.prefillTokens() >= LONG_PROMPT_TOKENS
                    && !choice.cached().isExpected()) {
                replica.onPrefillTime(first * 1_000 / choice.prefillTokens());
            }
            replica.onStatedLoad(engine.mRunning.size() + engine.mQueue.size(), nowNanos());
            final double sinceArrival = mNowMillis - request.mArrivedMillis;
            mFirstMillis.add(sinceArrival);
            mResult.mServed++;
            mResult.mOnTime += sinceArrival <= request.mKind.mObjective ? 1 : 0;
        }

        void onEnd(final Request request) {
            final Replica replica = request.mChoice.replica();
            replica.onEnded();
            final double stream = mNowMillis - request.mFirstEventMillis;
            replica.onServed(Math.max(1, stream));
            if (request.mOutput > 50) {
                replica.onTokenTime(stream / request.mOutput);
            }
        }
    }

    CachedPromptFleet(final Scenario scenario, final long seed) {
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < ENGINES; i++) {
            final double position = (double) i / (ENGINES - 1);
            mEngines.add(new Engine(i, FASTEST * Math.pow(SLOWEST / FASTEST, position)));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add(new Daemon(i));
        }
    }

    /** Simulates some seconds after a warm-up. */
    Result simulate(final int seconds) {
        for (int at = 0; at < WARM_UP_MILLIS + seconds * 1_000; at += TICK_MILLIS) {
            mNowMillis = at;
            if (at == WARM_UP_MILLIS) {
                mResult = new Result();
                mFirstMillis.clear();
                mEngines.forEach(engine -> engine.mBusyMillis = 0);
            }
            for (final Kind kind : Kind.values()) {
                arrive(kind);
            }
            mEngines.forEach(Engine::tick);
            if (at % SEND_INTERVAL_MILLIS == 0) {
                mDaemons.forEach(Daemon::sendWaiting);
            }
            if (at % REPORT_MILLIS == 0) {
                exchangeReports();
            }
        }
        final double[] first = mFirstMillis.stream().mapToDouble(m -> m).sorted().toArray();
        mResult.mMeanFirstMillis = Arrays.stream(first).average().orElse(0);
        mResult.mTailFirstMillis = first[(int) (first.length * 0.95)];
        final double mean = mEngines.stream().mapToDouble(e -> e.mBusyMillis).average().orElse(1);
        final double busiest = mEngines.stream().mapToDouble(e -> e.mBusyMillis).max().orElse(0);
        mResult.mBusiestToMean = busiest / mean;
        return mResult;
    }

    private void arrive(final Kind kind) {
        double expected = mScenario.load() * kind.mPerSecond * TICK_MILLIS / 1_000;
        while (mRandom.nextDouble() < expected) {
            expected -= 1;
            final boolean repeated = mRandom.nextDouble() < mScenario.repeated();
            final long session =
                    repeated ? mRandom.nextInt(mScenario.sessions()) : mRandom.nextLong();
            final double output = kind.mOutput * (0.4 + 1.2 * mRandom.nextDouble());
            mResult.mRequests++;
            mDaemons.get(mRandom.nextInt(DAEMONS))
                    .submit(new Request(kind, work(kind, session), mNowMillis, output));
        }
    }

    /** Sessions have the first part in common with a tenth of the others of their kind. */
    private static WorkSize work(final Kind kind, final long session) {
        final long first = (Math.floorMod(session, 10L) + 1) * 31 + kind.ordinal();
        final long last = session * 1_000_003 + kind.ordinal() + 7;
        final int shared = kind.mPrompt / 5;
        return new WorkSize(
                kind.mPrompt,
                kind.mOutput,
                500,
                List.of(
                        new PromptPart(first, first, shared),
                        new PromptPart(last, last, kind.mPrompt - shared)));
    }

    /** Reports to each daemon the load that the others had some time ago. */
    private void exchangeReports() {
        final int[][] now = new int[ENGINES][2];
        for (int e = 0; e < ENGINES; e++) {
            for (final Daemon daemon : mDaemons) {
                now[e][0] += daemon.mReplicas.get(e).ownInFlight();
                now[e][1] += daemon.mReplicas.get(e).ownPendingPrefill();
            }
        }
        mReports.addFirst(now);
        if (mReports.size() <= MAXIMUM_REPORT_AGE) {
            return;
        }
        final int[][][] reports = mReports.toArray(new int[0][][]);
        mReports.removeLast();
        final Map<Integer, Double> tokenMillis = new TreeMap<>();
        for (int e = 0; e < ENGINES; e++) {
            for (final Daemon daemon : mDaemons) {
                tokenMillis.merge(e, daemon.mReplicas.get(e).measuredTokenMillis(), Math::max);
            }
        }
        for (final Daemon daemon : mDaemons) {
            final int[][] old = reports[daemon.mReportAge];
            for (int e = 0; e < ENGINES; e++) {
                final Replica replica = daemon.mReplicas.get(e);
                replica.onPeerLoad(
                        Math.max(0, old[e][0] - replica.ownInFlight()),
                        Math.max(0, old[e][1] - replica.ownPendingPrefill()));
                replica.onPeerTokenTime(tokenMillis.get(e));
            }
        }
    }

    private TimeLeft timeLeft(final Request request) {
        final double waited = mNowMillis - request.mArrivedMillis;
        final double left = request.mKind.mDeadline - waited;
        return new TimeLeft(request.mKind.mObjective - waited, left, left);
    }

    private long nowNanos() {
        return (long) (mNowMillis * NANOS_PER_MILLI) + 1;
    }
}
