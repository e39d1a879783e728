package io.persimmonreel.experiment.ownership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Forwards each request to the owner of its key, which alone dispatches it. Rendezvous hashing over
 * the host list determines the owner; there are no leases.
 */
final class OwnerPerKeyMethod implements AtMostOnceMethod {
    private static final long UNREACHABLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Fleet mFleet;
    private final RunCounter mRunCounter;

    /**
     * For each process, the keys that it has run as the owner, and whether the run has finished.
     */
    private final Map<DaemonProcess, Map<String, Boolean>> mFinishedByKey = new HashMap<>();

    OwnerPerKeyMethod(final Fleet fleet, final RunCounter runCounter) {
        mFleet = fleet;
        mRunCounter = runCounter;
    }

    @Override
    public void onStart(final DaemonProcess daemon) {
        mFinishedByKey.put(daemon, new HashMap<>());
    }

    @Override
    public String newKey(final DaemonProcess daemon, final long wallMillis) {
        return UuidKeys.newKey(wallMillis, mFleet.random());
    }

    @Override
    public void handle(
            final DaemonProcess daemon, final String key, final Consumer<Boolean> reply) {
        final List<Integer> listed = mFleet.listedBy(daemon);
        final int slot =
                listed.stream().max(Comparator.comparingLong(s -> weight(s, key))).orElseThrow();
        final DaemonProcess owner = mFleet.daemon(slot);
        if (owner == null || !owner.isRunning()) {
            mFleet.queue().scheduleAfter(mFleet.delayNanos(), () -> reply.accept(false));
        } else if (!mFleet.isLinked(daemon, owner)) {
            mFleet.queue().scheduleAfter(UNREACHABLE_TIMEOUT_NANOS, () -> reply.accept(false));
        } else {
            owner.onEnd(() -> reply.accept(false));
            mFleet.deliver(daemon, owner, () -> runAsOwner(owner, daemon, key, reply));
        }
    }

    private void runAsOwner(
            final DaemonProcess owner,
            final DaemonProcess receiver,
            final String key,
            final Consumer<Boolean> reply) {
        final Map<String, Boolean> finishedByKey = mFinishedByKey.get(owner);
        if (finishedByKey.containsKey(key)) {
            final boolean finished = finishedByKey.get(key);
            mFleet.deliver(owner, receiver, () -> reply.accept(finished));
            return;
        }
        finishedByKey.put(key, false);
        mRunCounter.add(key);
        mFleet.queue()
                .scheduleAfter(
                        RUN_NANOS,
                        () -> {
                            if (owner.isRunning()) {
                                finishedByKey.put(key, true);
                                mFleet.deliver(owner, receiver, () -> reply.accept(true));
                            }
                        });
    }

    private static long weight(final int slot, final String key) {
        long mixed = (key.hashCode() * 31L + slot) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
