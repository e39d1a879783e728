package io.persimmonreel.experiment.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Lets any daemon dispatch a request; the upstream refuses a key that it has seen before. */
final class UpstreamCheckMethod implements AtMostOnceMethod {
    private final Fleet mFleet;
    private final RunCounter mRunCounter;
    private final List<Set<String>> mSeenKeys = new ArrayList<>();

    /**
     * Creates the method.
     *
     * @param fleet the fleet
     * @param runCounter counts the runs of each key
     * @param keySets the number of sets of seen keys: 1 if all replicas share one, otherwise the
     *     number of replicas
     */
    UpstreamCheckMethod(final Fleet fleet, final RunCounter runCounter, final int keySets) {
        mFleet = fleet;
        mRunCounter = runCounter;
        for (int i = 0; i < keySets; i++) {
            mSeenKeys.add(new HashSet<>());
        }
    }

    @Override
    public void onStart(final DaemonProcess daemon) {
        // Daemons have no state in this method.
    }

    @Override
    public String newKey(final DaemonProcess daemon, final long wallMillis) {
        return UuidKeys.newKey(wallMillis, mFleet.random());
    }

    @Override
    public void handle(
            final DaemonProcess daemon, final String key, final Consumer<Boolean> reply) {
        final Set<String> seenKeys = mSeenKeys.get(mFleet.random().nextInt(mSeenKeys.size()));
        if (!seenKeys.add(key)) {
            mFleet.queue().scheduleAfter(mFleet.delayNanos(), () -> reply.accept(false));
            return;
        }
        mRunCounter.add(key);
        mFleet.queue().scheduleAfter(RUN_NANOS, () -> reply.accept(daemon.isRunning()));
    }
}
