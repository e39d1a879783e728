package io.persimmonreel.experiment.ownership;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.experiment.virtual.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Simulates the daemon processes of a fleet, the links between them and the host list. */
final class Fleet {
    static final int SIZE = 7;

    /** Daemons read the host list at different times, so what they read differs for a while. */
    private static final long LIST_READ_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long DRAIN_DURATION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long START_DURATION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAXIMUM_SKEW_MILLIS = 500;
    private static final long MINIMUM_DELAY_NANOS = 500_000L;
    private static final int DELAY_SPREAD_NANOS = 1_500_000;

    private final EventQueue mQueue = new EventQueue();
    private final Random mRandom;
    private final Map<Integer, DaemonProcess> mDaemons = new TreeMap<>();
    private final TreeMap<Long, List<Integer>> mSlotsByTime = new TreeMap<>();
    private final Map<Integer, Long> mListReadOffsets = new HashMap<>();
    private final Consumer<DaemonProcess> mStartListener;
    private BiPredicate<Integer, Integer> mLinks = (from, to) -> true;
    private long mListDelayNanos = TimeUnit.SECONDS.toNanos(5);

    Fleet(final long seed, final Consumer<DaemonProcess> startListener) {
        mRandom = new Random(seed);
        mStartListener = startListener;
    }

    /**
     * Starts the first daemons. The constructor does not, because the listener of starts needs the
     * fleet.
     */
    void start() {
        for (int slot = 1; slot <= SIZE; slot++) {
            start(slot);
        }
    }

    EventQueue queue() {
        return mQueue;
    }

    Random random() {
        return mRandom;
    }

    void start(final int slot) {
        final DaemonProcess daemon =
                new DaemonProcess(
                        slot,
                        new Incarnation(mRandom.nextLong()),
                        mRandom.nextInt(2 * MAXIMUM_SKEW_MILLIS) - MAXIMUM_SKEW_MILLIS);
        mDaemons.put(slot, daemon);
        mListReadOffsets.put(slot, (long) (mRandom.nextDouble() * LIST_READ_SPREAD_NANOS));
        recordSlots();
        mStartListener.accept(daemon);
    }

    void kill(final int slot) {
        mDaemons.remove(slot).end();
        recordSlots();
    }

    /** Replaces a process in its slot, with time for it to finish its requests. */
    void replaceGracefully(final int slot) {
        mDaemons.get(slot).stopAccepting();
        mQueue.scheduleAfter(DRAIN_DURATION_NANOS, () -> mDaemons.get(slot).end());
        mQueue.scheduleAfter(DRAIN_DURATION_NANOS + START_DURATION_NANOS, () -> start(slot));
    }

    /** Kills a process and starts another one in its slot. */
    void replaceAbruptly(final int slot) {
        mDaemons.get(slot).end();
        mQueue.scheduleAfter(START_DURATION_NANOS, () -> start(slot));
    }

    private void recordSlots() {
        mSlotsByTime.put(mQueue.nowNanos(), new ArrayList<>(mDaemons.keySet()));
    }

    void setListDelay(final long nanos) {
        mListDelayNanos = nanos;
    }

    void setLinks(final BiPredicate<Integer, Integer> links) {
        mLinks = links;
    }

    boolean isLinked(final DaemonProcess a, final DaemonProcess b) {
        return a.slot() == b.slot() || mLinks.test(a.slot(), b.slot());
    }

    DaemonProcess daemon(final int slot) {
        return mDaemons.get(slot);
    }

    List<DaemonProcess> daemons() {
        return List.copyOf(mDaemons.values());
    }

    /** Returns the slots on the host list that the load balancer reads. */
    List<Integer> listed() {
        return listedAt(mQueue.nowNanos() - mListDelayNanos);
    }

    /** Returns the slots on the host list that a daemon reads. */
    List<Integer> listedBy(final DaemonProcess daemon) {
        final long offset = mListReadOffsets.get(daemon.slot());
        return listedAt(mQueue.nowNanos() - mListDelayNanos - offset);
    }

    private List<Integer> listedAt(final long nanos) {
        final Map.Entry<Long, List<Integer>> entry = mSlotsByTime.floorEntry(nanos);
        return entry == null ? mSlotsByTime.firstEntry().getValue() : entry.getValue();
    }

    /**
     * Picks a listed slot at random, as the load balancer does. Returns its daemon, or null if no
     * process accepts connections there.
     */
    DaemonProcess pickDaemon() {
        final List<Integer> listed = listed();
        final DaemonProcess daemon = mDaemons.get(listed.get(mRandom.nextInt(listed.size())));
        return daemon == null || !daemon.isAccepting() ? null : daemon;
    }

    /**
     * Delivers a message after a delay, unless its receiver has ended or is unreachable by then.
     */
    void deliver(final DaemonProcess from, final DaemonProcess to, final Runnable action) {
        mQueue.scheduleAfter(
                delayNanos(),
                () -> {
                    if (to.isRunning() && isLinked(from, to)) {
                        action.run();
                    }
                });
    }

    long delayNanos() {
        return MINIMUM_DELAY_NANOS + mRandom.nextInt(DELAY_SPREAD_NANOS);
    }
}
