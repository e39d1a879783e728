package io.persimmonreel.core.quota;

import io.persimmonreel.core.route.RelayCustomer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * Plays the requests of one customer to a fleet of daemons in virtual time, and counts the units of
 * the requests that are sent to replicas in any window.
 *
 * <p>Daemons can be killed, started, frozen and cut off from each other; replicas can take no
 * requests for a time.
 */
final class QuotaFleet {
    static final int STEP_MILLIS = 10;
    static final int WINDOW_MILLIS = 8_000;
    private static final int DEADLINE_MILLIS = 12_000;
    private static final int MAXIMUM_LATENCY_MILLIS = 20;

    /** The time after which a connection to a frozen daemon is considered dead. */
    private static final int SILENCE_MILLIS = 2_000;

    private final SplittableRandom mRandom;
    private final DaemonFactory mFactory;
    private final Host[] mHosts;
    private final PriorityQueue<Message> mMessages = new PriorityQueue<>();
    private final Deque<long[]> mSends = new ArrayDeque<>();
    private final List<Request> mOffered = new ArrayList<>();
    private RelayCustomer mCustomer;
    private double mDue;
    private boolean mAcceptsSends = true;
    private ToLongFunction<SplittableRandom> mSizes = QuotaFleet::size;
    private int mNowMillis;
    private long mSequence;
    private long mInWindow;
    private long mMostInWindow;
    private long mMostInWindowMillis;
    private long mOfferedUnits;
    private long mSentUnits;
    private long mRefusedUnits;

    /** Creates the model of one run of a daemon's process. */
    interface DaemonFactory {
        DaemonModel create(QuotaFleet fleet, int index, long nowNanos);
    }

    /** Decides on the requests of the customer at one daemon. */
    interface DaemonModel {
        /** Returns whether the daemon keeps a connection to another one. */
        boolean isLinkedTo(int peer);

        /** Decides on a request, now or later, by {@link #admit} or {@link #refuse}. */
        void offer(Request request, long nowNanos);

        /** Returns whether an admitted request may be sent now; if not, it is offered again. */
        boolean trySend(Request request, long nowNanos);

        /** Drops an admitted request that was not sent. */
        void drop(Request request, long nowNanos);

        void onTick(long nowNanos);

        void onConnected(int peer, long nowNanos);

        void onDisconnected(int peer, long nowNanos);

        void onMessage(int from, Object message, long nowNanos);

        /** Applies a changed quota of the customer. */
        void onConfiguration(long nowNanos);
    }

    /** A request of the customer. */
    static final class Request {
        private final long mUnits;
        private final int mArrivedMillis;
        private boolean mWasRefused;
        private boolean mWasSent;
        private Object mAttachment;

        Request(final long units, final int arrivedMillis) {
            mUnits = units;
            mArrivedMillis = arrivedMillis;
        }

        long units() {
            return mUnits;
        }

        boolean wasSent() {
            return mWasSent;
        }

        /** Returns what the model of the daemon attached, null if nothing. */
        Object attachment() {
            return mAttachment;
        }

        void attach(final Object attachment) {
            mAttachment = attachment;
        }
    }

    private record Message(int atMillis, long sequence, int from, int to, int[] runs, Object body)
            implements Comparable<Message> {
        @Override
        public int compareTo(final Message other) {
            return atMillis != other.atMillis
                    ? Integer.compare(atMillis, other.atMillis)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** A host with at most one process. */
    private static final class Host {
        private final List<Request> mQueue = new ArrayList<>();
        private DaemonModel mDaemon;
        private int mRun;
        private int mPart;
        private int mStartAtMillis;
        private int mFrozenFromMillis;
        private int mFrozenToMillis = -1;
        private boolean[] mConnected;
    }

    QuotaFleet(
            final int daemons,
            final RelayCustomer customer,
            final DaemonFactory factory,
            final long seed) {
        mRandom = new SplittableRandom(seed);
        mFactory = factory;
        mCustomer = customer;
        mHosts = new Host[daemons];
        for (int i = 0; i < daemons; i++) {
            mHosts[i] = new Host();
            mHosts[i].mConnected = new boolean[daemons];
            mHosts[i].mStartAtMillis = mRandom.nextInt(300);
        }
    }

    /** Returns a customer whose burst is a second of its rate. */
    static RelayCustomer customer(final double rate) {
        return customer(rate, rate);
    }

    static RelayCustomer customer(final double rate, final double burst) {
        return new RelayCustomer(
                "acme", List.of("key"), OptionalInt.empty(), rate, burst, true, 200);
    }

    /** Returns the most units of a customer that may be sent in a window. */
    static double bound(final RelayCustomer customer, final QuotaTolerance tolerance) {
        return (customer.ratePerSecond() * WINDOW_MILLIS / 1_000 + customer.burst())
                        * (1 + tolerance.share())
                + tolerance.tokens();
    }

    int size() {
        return mHosts.length;
    }

    RelayCustomer customer() {
        return mCustomer;
    }

    SplittableRandom random() {
        return mRandom;
    }

    int nowMillis() {
        return mNowMillis;
    }

    long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    /** Returns the number of running daemons in the part of the network of a daemon. */
    int reachableFrom(final int index) {
        int reachable = 0;
        for (int i = 0; i < size(); i++) {
            reachable += i == index || isReachable(index, i) ? 1 : 0;
        }
        return reachable;
    }

    boolean acceptsSends() {
        return mAcceptsSends;
    }

    long mostInWindow() {
        return mMostInWindow;
    }

    long mostInWindowMillis() {
        return mMostInWindowMillis;
    }

    long offeredUnits() {
        return mOfferedUnits;
    }

    long sentUnits() {
        return mSentUnits;
    }

    long refusedUnits() {
        return mRefusedUnits;
    }

    /** Starts to count offered, sent and refused units anew; the windows go on. */
    void resetCounts() {
        mOffered.clear();
        mOfferedUnits = 0;
        mSentUnits = 0;
        mRefusedUnits = 0;
    }

    void acceptSends(final boolean accept) {
        mAcceptsSends = accept;
    }

    /** Sets the range of the units of requests from now on; none of them is large. */
    void useSizes(final int minimum, final int maximum) {
        useSizes(random -> minimum + random.nextInt(maximum - minimum));
    }

    /** Sets what draws the units of requests from now on. */
    void useSizes(final ToLongFunction<SplittableRandom> sizes) {
        mSizes = sizes;
    }

    /** Returns the requests that were offered since the counts were reset. */
    List<Request> offered() {
        return mOffered;
    }

    /** Draws the units of a request; one in 20 is large. */
    private static long size(final SplittableRandom random) {
        return random.nextInt(20) == 0
                ? 4_000 + random.nextInt(16_000)
                : 200 + random.nextInt(3_800);
    }

    /** Changes the quota of the customer at all daemons. */
    void configure(final RelayCustomer customer) {
        mCustomer = customer;
        for (final Host host : mHosts) {
            if (host.mDaemon != null) {
                host.mDaemon.onConfiguration(nowNanos());
            }
        }
    }

    /** Starts to look for the most units in a window anew. */
    void resetMost() {
        mMostInWindow = 0;
    }

    /** Kills a daemon, whose requests are lost, and starts it again later. */
    void restart(final int index, final int downMillis) {
        final Host host = mHosts[index];
        host.mDaemon = null;
        host.mQueue.clear();
        host.mFrozenToMillis = -1;
        host.mStartAtMillis = mNowMillis + downMillis;
        for (int peer = 0; peer < size(); peer++) {
            disconnect(index, peer);
        }
    }

    void freeze(final int index, final int millis) {
        mHosts[index].mFrozenFromMillis = mNowMillis;
        mHosts[index].mFrozenToMillis = mNowMillis + millis;
    }

    /** Puts a daemon into a part of the network; only daemons of the same part are connected. */
    void moveToPart(final int index, final int part) {
        mHosts[index].mPart = part;
    }

    void heal() {
        Arrays.stream(mHosts).forEach(host -> host.mPart = 0);
    }

    /** Sends a message to a connected daemon; it is lost if the connection breaks. */
    void send(final int from, final int to, final int extraMillis, final Object body) {
        if (mHosts[from].mConnected[to]) {
            final int latency = 1 + extraMillis + mRandom.nextInt(MAXIMUM_LATENCY_MILLIS);
            final int[] runs = {mHosts[from].mRun, mHosts[to].mRun};
            mMessages.add(new Message(mNowMillis + latency, mSequence++, from, to, runs, body));
        }
    }

    /** Queues a request until replicas take it. */
    void admit(final int index, final Request request) {
        mHosts[index].mQueue.add(request);
    }

    void refuse(final Request request) {
        if (!request.mWasRefused) {
            request.mWasRefused = true;
            mRefusedUnits += request.mUnits;
        }
    }

    /** Runs for a time, with a given number of units in requests a second. */
    void run(final int millis, final double unitsPerSecond) {
        for (final int end = mNowMillis + millis; mNowMillis < end; mNowMillis += STEP_MILLIS) {
            startDaemons();
            updateConnections();
            deliver();
            for (int i = 0; i < size(); i++) {
                if (isRunning(i)) {
                    mHosts[i].mDaemon.onTick(nowNanos());
                }
            }
            offer(unitsPerSecond);
            for (int i = 0; i < size(); i++) {
                if (isRunning(i)) {
                    dispatch(i);
                }
            }
        }
    }

    private boolean isRunning(final int index) {
        return mHosts[index].mDaemon != null && mHosts[index].mFrozenToMillis <= mNowMillis;
    }

    private void startDaemons() {
        for (int i = 0; i < size(); i++) {
            final Host host = mHosts[i];
            if (host.mDaemon == null && mNowMillis >= host.mStartAtMillis) {
                host.mRun++;
                host.mDaemon = mFactory.create(this, i, nowNanos());
            }
        }
    }

    private void updateConnections() {
        for (int a = 0; a < size(); a++) {
            for (int b = 0; b < a; b++) {
                if (!isReachable(a, b)) {
                    disconnect(a, b);
                } else if (!mHosts[a].mConnected[b] && isRunning(a) && isRunning(b)) {
                    connect(a, b);
                }
            }
        }
    }

    private boolean isReachable(final int a, final int b) {
        return mHosts[a].mPart == mHosts[b].mPart && isConnectable(a) && isConnectable(b);
    }

    private boolean isConnectable(final int index) {
        final Host host = mHosts[index];
        return host.mDaemon != null
                && (isRunning(index) || mNowMillis - host.mFrozenFromMillis < SILENCE_MILLIS);
    }

    private void connect(final int a, final int b) {
        if (mHosts[a].mDaemon.isLinkedTo(b) || mHosts[b].mDaemon.isLinkedTo(a)) {
            mHosts[a].mConnected[b] = true;
            mHosts[b].mConnected[a] = true;
            mHosts[a].mDaemon.onConnected(b, nowNanos());
            mHosts[b].mDaemon.onConnected(a, nowNanos());
        }
    }

    private void disconnect(final int a, final int b) {
        if (mHosts[a].mConnected[b]) {
            mHosts[a].mConnected[b] = false;
            mHosts[b].mConnected[a] = false;
            if (mHosts[a].mDaemon != null) {
                mHosts[a].mDaemon.onDisconnected(b, nowNanos());
            }
            if (mHosts[b].mDaemon != null) {
                mHosts[b].mDaemon.onDisconnected(a, nowNanos());
            }
        }
    }

    private void deliver() {
        final List<Message> late = new ArrayList<>();
        while (!mMessages.isEmpty() && mMessages.peek().atMillis() <= mNowMillis) {
            final Message message = mMessages.poll();
            final boolean sameRuns =
                    mHosts[message.from()].mRun == message.runs()[0]
                            && mHosts[message.to()].mRun == message.runs()[1];
            if (!sameRuns || !mHosts[message.from()].mConnected[message.to()]) {
                continue;
            }
            if (isRunning(message.to())) {
                mHosts[message.to()].mDaemon.onMessage(message.from(), message.body(), nowNanos());
            } else {
                late.add(message);
            }
        }
        mMessages.addAll(late);
    }

    /** Offers requests; the first daemon gets a third of them. */
    private void offer(final double unitsPerSecond) {
        for (mDue += unitsPerSecond * STEP_MILLIS / 1_000; mDue > 0; ) {
            final long units = mSizes.applyAsLong(mRandom);
            mDue -= units;
            final int index = mRandom.nextInt(3) == 0 ? 0 : mRandom.nextInt(size());
            if (isRunning(index)) {
                mOfferedUnits += units;
                final Request request = new Request(units, mNowMillis);
                mOffered.add(request);
                mHosts[index].mDaemon.offer(request, nowNanos());
            }
        }
    }

    private void dispatch(final int index) {
        final Host host = mHosts[index];
        final List<Request> queue = new ArrayList<>(host.mQueue);
        host.mQueue.clear();
        for (final Request request : queue) {
            if (mNowMillis - request.mArrivedMillis > DEADLINE_MILLIS) {
                host.mDaemon.drop(request, nowNanos());
                refuse(request);
            } else if (!mAcceptsSends) {
                host.mQueue.add(request);
            } else if (host.mDaemon.trySend(request, nowNanos())) {
                request.mWasSent = true;
                count(request.mUnits);
            } else {
                host.mDaemon.offer(request, nowNanos());
            }
        }
    }

    private void count(final long units) {
        mSentUnits += units;
        mSends.add(new long[] {mNowMillis, units});
        mInWindow += units;
        while (mSends.peek()[0] <= mNowMillis - WINDOW_MILLIS) {
            mInWindow -= mSends.poll()[1];
        }
        if (mInWindow > mMostInWindow) {
            mMostInWindow = mInWindow;
            mMostInWindowMillis = mNowMillis;
        }
    }
}
