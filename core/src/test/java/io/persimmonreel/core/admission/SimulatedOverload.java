package io.persimmonreel.core.admission;

import io.persimmonreel.core.placement.UpstreamCapacity;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Simulates, in virtual time, daemons that each hold a share of the slots of an upstream, and
 * callers that ask for more than these slots can serve for some seconds.
 *
 * <p>The decisions are those of {@link Admission} and {@link ReturnSchedule}; the order in which
 * requests are placed is an argument. Times of responses differ from their forecast, and callers
 * return once after a refusal.
 */
final class SimulatedOverload {
    private static final double BASE_LOAD = 0.7;
    private static final double BEFORE_MILLIS = 4_000;
    private static final double AFTER_MILLIS = 15_000;
    private static final double PASS_INTERVAL_MILLIS = 40;
    private static final double ROUND_TRIP_MILLIS = 2;
    private static final double HONOURED_SHARE = 1.0 / 3;

    /** Standard deviation of the logarithm of the actual time over the forecast. */
    private static final double FORECAST_SPREAD = 0.2;

    /** The quantile of the normal distribution above which the largest tenth lies. */
    private static final double LARGEST_TENTH = 1.2816;

    /** The quantile of the normal distribution above which the largest three tenths lie. */
    private static final double LARGEST_THREE_TENTHS = 0.5244;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Load mLoad;
    private final SplittableRandom mRandom;

    /** Draws for callers that return, so that the first arrivals are the same with each order. */
    private final SplittableRandom mReturnRandom;

    private final double mMeanMillis;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<Kind, Result> mResults = new LinkedHashMap<>();
    private long mEventCount;
    private double mNowMillis;

    /** Determines the order in which the requests that wait in one daemon are placed. */
    interface Order {
        List<Request> arrange(List<Request> waiting, UpstreamCapacity capacity, double nowMillis);

        /** Records that a request has arrived. */
        default void onArrived(final Request request, final double nowMillis) {}

        /** Records that a request was sent to a replica. */
        default void onSent(final Request request, final double nowMillis) {}
    }

    /**
     * Describes requests of one kind. Times are in milliseconds.
     *
     * @param perSecond the rate at its usual load; only the proportions between kinds count
     * @param firstMillis the mean time to the first event
     * @param totalMillis the mean time to the end of the response
     * @param patienceMillis the time without an event after which callers leave
     */
    record Kind(
            String name,
            int rank,
            double perSecond,
            double firstMillis,
            double totalMillis,
            double objectiveMillis,
            double patienceMillis,
            double deadlineMillis) {
        boolean isStream() {
            return firstMillis < totalMillis;
        }
    }

    /**
     * Describes an upstream and a burst.
     *
     * @param slots the slots of all replicas
     * @param daemons the daemons, each of which uses an equal share of the slots
     * @param burst the offered work in the burst, as a multiple of the slots
     * @param sizeSpread the standard deviation of the logarithm of a request's size within its kind
     */
    record Load(
            String name,
            int slots,
            int daemons,
            double burstSeconds,
            double burst,
            double sizeSpread,
            List<Kind> kinds) {
        double endMillis() {
            return BEFORE_MILLIS + burstSeconds * 1_000 + AFTER_MILLIS;
        }

        double at(final double millis) {
            final boolean isBurst =
                    millis >= BEFORE_MILLIS && millis < BEFORE_MILLIS + burstSeconds * 1_000;
            return isBurst ? burst : BASE_LOAD;
        }
    }

    /** Counts requests by result. */
    static final class Result {
        private int mRequests;
        private int mOnTime;
        private int mLate;
        private int mLargest;
        private int mLargestServed;
        private int mLarge;
        private int mLargeServed;

        void add(final Result other) {
            mRequests += other.mRequests;
            mOnTime += other.mOnTime;
            mLate += other.mLate;
            mLargest += other.mLargest;
            mLargestServed += other.mLargestServed;
            mLarge += other.mLarge;
            mLargeServed += other.mLargeServed;
        }

        int requests() {
            return mRequests;
        }

        double onTime() {
            return (double) mOnTime / mRequests;
        }

        double late() {
            return (double) mLate / mRequests;
        }

        double served() {
            return onTime() + late();
        }

        double largestServed() {
            return (double) mLargestServed / mLargest;
        }

        /** Returns the share served of the fifth below the largest tenth. */
        double largeServed() {
            return (double) mLargeServed / mLarge;
        }

        double restServed() {
            return (double) (mOnTime + mLate - mLargestServed) / (mRequests - mLargest);
        }

        /** Returns the worth of the responses: a late one counts a tenth. */
        double worth() {
            return onTime() + late() / 10;
        }

        @Override
        public String toString() {
            return String.format(
                    "n %6d  served %.3f  on time %.3f  late %.3f  lost %.3f  largest tenth %.3f"
                            + "  fifth below %.3f  rest %.3f  worth %.3f",
                    mRequests,
                    served(),
                    onTime(),
                    late(),
                    1 - served(),
                    largestServed(),
                    largeServed(),
                    restServed(),
                    worth());
        }
    }

    private record Event(double atMillis, long number, Runnable action) {}

    /** Contains the state of one request. */
    final class Request {
        private final Kind mKind;
        private final double mFirstArrivalMillis = mNowMillis;
        private final boolean mIsLargest;
        private final boolean mIsLarge;
        private final RunForecast mRun;
        private final RunForecast mActual;
        private double mArrivalMillis = mNowMillis;
        private boolean mHasReturned;

        Request(final Kind kind) {
            mKind = kind;
            final double draw = gaussian();
            mIsLargest = draw > LARGEST_TENTH;
            mIsLarge = !mIsLargest && draw > LARGEST_THREE_TENTHS;
            final double size = sizeOf(draw, mLoad.sizeSpread());
            // The size of a plain request is not known before it has run.
            final double known = kind.isStream() ? size : 1;
            mRun = new RunForecast(kind.firstMillis() * known, kind.totalMillis() * known);
            final double first = kind.firstMillis() * size * sizeOf(gaussian(), FORECAST_SPREAD);
            mActual =
                    new RunForecast(
                            first,
                            kind.isStream()
                                    ? kind.totalMillis()
                                            * size
                                            * sizeOf(gaussian(), FORECAST_SPREAD)
                                    : first);
        }

        int rank() {
            return mKind.rank();
        }

        RunForecast run() {
            return mRun;
        }

        double arrivalMillis() {
            return mArrivalMillis;
        }

        TimeLeft timeLeft() {
            final double waited = mNowMillis - mArrivalMillis;
            final double deadline = mKind.deadlineMillis() - (mNowMillis - mFirstArrivalMillis);
            return new TimeLeft(
                    mKind.objectiveMillis() - waited,
                    Math.min(deadline, mKind.patienceMillis() - waited),
                    deadline);
        }

        QueuePosition position() {
            return QueuePosition.of(timeLeft(), mRun, mKind.rank());
        }

        /** Returns when the caller leaves if the response starts now, infinite if it does not. */
        private double leavesMillis() {
            final TimeLeft left = timeLeft();
            if (mActual.firstMillis() > left.firstEventMillis()) {
                return Math.max(0, left.firstEventMillis());
            }
            return mActual.totalMillis() > left.deadlineMillis()
                    ? Math.max(0, left.deadlineMillis())
                    : Double.POSITIVE_INFINITY;
        }

        private void onServed(final double firstMillis) {
            final Result result = mResults.get(mKind);
            if (firstMillis - mFirstArrivalMillis <= mKind.objectiveMillis()) {
                result.mOnTime++;
            } else {
                result.mLate++;
            }
            result.mLargestServed += mIsLargest ? 1 : 0;
            result.mLargeServed += mIsLarge ? 1 : 0;
        }
    }

    /** Simulates the part of the replicas that one daemon uses. */
    private final class Daemon {
        private final int mSlots;
        private final Order mOrder;
        private final ReturnSchedule mReturns = new ReturnSchedule();
        private final Deque<Request> mNext = new ArrayDeque<>();
        private List<Request> mWaiting = new ArrayList<>();
        private int mRunning;

        Daemon(final int slots, final Order order) {
            mSlots = slots;
            mOrder = order;
        }

        void submit(final Request request) {
            mOrder.onArrived(request, mNowMillis);
            mWaiting.add(request);
            pass();
        }

        private void pass() {
            if (mWaiting.isEmpty()) {
                return;
            }
            final UpstreamCapacity capacity =
                    new UpstreamCapacity(mSlots, mMeanMillis, mNext.size() * mMeanMillis / mSlots);
            final List<Request> still = new ArrayList<>();
            double aheadMillis = 0;
            for (final Request request : mOrder.arrange(mWaiting, capacity, mNowMillis)) {
                final PlaceForecast place = capacity.forecast(aheadMillis);
                switch (Admission.decide(
                        request.timeLeft(), replica(request), place, request.mRun)) {
                    case SEND:
                        send(request);
                        break;
                    case REFUSE:
                        refuse(request, place);
                        break;
                    default:
                        still.add(request);
                        aheadMillis += request.mRun.totalMillis();
                }
            }
            mWaiting = still;
        }

        private ReplicaForecast replica(final Request request) {
            final int free = mSlots - mRunning - mNext.size();
            final double waitMillis = free >= 1 ? 0 : mMeanMillis / mSlots;
            return new ReplicaForecast(free, mSlots, waitMillis + request.mRun.firstMillis());
        }

        private void send(final Request request) {
            mOrder.onSent(request, mNowMillis);
            if (mRunning < mSlots) {
                start(request);
            } else {
                mNext.add(request);
            }
        }

        private void start(final Request request) {
            mRunning++;
            final double startMillis = mNowMillis;
            final double leavesMillis = request.leavesMillis();
            final double total = Math.min(leavesMillis, request.mActual.totalMillis());
            after(
                    total,
                    () -> {
                        mRunning--;
                        if (leavesMillis == Double.POSITIVE_INFINITY) {
                            request.onServed(startMillis + request.mActual.firstMillis());
                        }
                        if (!mNext.isEmpty()) {
                            start(mNext.poll());
                        }
                        pass();
                    });
        }

        private void refuse(final Request request, final PlaceForecast place) {
            if (request.mHasReturned) {
                return;
            }
            final double left = request.timeLeft().deadlineMillis();
            final double delay =
                    mReturns.delayMillis(place, left, (long) (mNowMillis * NANOS_PER_MILLI));
            after(
                    ROUND_TRIP_MILLIS + Math.min(delay, left * HONOURED_SHARE),
                    () -> {
                        request.mHasReturned = true;
                        request.mArrivalMillis = mNowMillis;
                        anyDaemon(mReturnRandom).submit(request);
                    });
        }

        private void passRegularly() {
            pass();
            if (mNowMillis < mLoad.endMillis() || !mWaiting.isEmpty()) {
                after(PASS_INTERVAL_MILLIS, this::passRegularly);
            }
        }
    }

    SimulatedOverload(final Load load, final Supplier<Order> orders, final long seed) {
        mLoad = load;
        mRandom = new SplittableRandom(seed);
        mReturnRandom = mRandom.split();
        double perSecond = 0;
        double work = 0;
        for (final Kind kind : load.kinds()) {
            perSecond += kind.perSecond();
            work += kind.perSecond() * kind.totalMillis();
            mResults.put(kind, new Result());
        }
        mMeanMillis = work / perSecond;
        for (int i = 0; i < load.daemons(); i++) {
            mDaemons.add(
                    new Daemon(
                            load.slots() * (i + 1) / load.daemons()
                                    - load.slots() * i / load.daemons(),
                            orders.get()));
        }
    }

    /** Simulates until all callers have a result. */
    Map<Kind, Result> simulate() {
        for (final Daemon daemon : mDaemons) {
            after(mRandom.nextDouble() * PASS_INTERVAL_MILLIS, daemon::passRegularly);
        }
        for (final Kind kind : mLoad.kinds()) {
            arrive(kind);
        }
        while (!mEvents.isEmpty()) {
            final Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.action().run();
        }
        return mResults;
    }

    /** Lets a request of a kind arrive as soon as the rate of the kind says. */
    private void arrive(final Kind kind) {
        final double perSecondPerSlot =
                kind.perSecond()
                        / mLoad.kinds().stream()
                                .mapToDouble(k -> k.perSecond() * k.totalMillis() / 1e3)
                                .sum();
        final double perMilli = perSecondPerSlot * mLoad.slots() / 1e3;
        // The next arrival is drawn at the highest rate and thinned to the present one.
        after(
                -Math.log(1 - mRandom.nextDouble()) / (perMilli * mLoad.burst()),
                () -> {
                    if (mNowMillis >= mLoad.endMillis()) {
                        return;
                    }
                    if (mRandom.nextDouble() * mLoad.burst() < mLoad.at(mNowMillis)) {
                        final Request request = new Request(kind);
                        final Result result = mResults.get(kind);
                        result.mRequests++;
                        result.mLargest += request.mIsLargest ? 1 : 0;
                        result.mLarge += request.mIsLarge ? 1 : 0;
                        anyDaemon(mRandom).submit(request);
                    }
                    arrive(kind);
                });
    }

    private Daemon anyDaemon(final SplittableRandom random) {
        return mDaemons.get(random.nextInt(mDaemons.size()));
    }

    private void after(final double millis, final Runnable action) {
        mEvents.add(new Event(mNowMillis + millis, mEventCount++, action));
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()))
                * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }

    /** Returns a factor with a mean of 1. */
    private static double sizeOf(final double draw, final double spread) {
        return Math.exp(spread * draw - spread * spread / 2);
    }
}
