package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.daemon.relay.VirtualReplicaConnection.Then;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Draws events for a relay in virtual time and checks it after each of them.
 *
 * <p>Each event has random numbers of its own, so that the others stay much the same if one is left
 * out.
 */
final class VirtualRelayEvents {
    private static final int REPLICAS = 3;
    private static final int MAXIMUM_CALLERS = 8;
    private static final int MAXIMUM_PIPELINED = 3;
    private static final int PERCENT = 100;

    /** The time until all limits on one request have passed. */
    private static final long LONGEST_REQUEST_MILLIS = 3_600;

    private static final long STEP_MILLIS = 40;

    private final VirtualRelay mRelay = new VirtualRelay();
    private final List<String> mTrace = new ArrayList<>();
    private final long mSeed;
    private SplittableRandom mRandom;
    private int mVersion = 1;

    private VirtualRelayEvents(final long seed) {
        mSeed = seed;
    }

    /**
     * Plays the events of a seed.
     *
     * @param seed the seed
     * @param events the number of events
     * @param without the numbers of the events that are left out
     * @throws AssertionError if a check fails; its message has the events
     */
    static void play(final long seed, final int events, final Set<Integer> without) {
        new VirtualRelayEvents(seed).play(events, without);
    }

    /** Plays the events of a seed; on failure, leaves out as many as possible. */
    static void playAndShrink(final long seed, final int events) {
        try {
            play(seed, events, Set.of());
        } catch (final AssertionError e) {
            throw shrink(seed, events, e);
        }
    }

    private static AssertionError shrink(
            final long seed, final int events, final AssertionError found) {
        AssertionError last = found;
        final Set<Integer> without = new TreeSet<>();
        for (int i = events - 1; i >= 0; i--) {
            without.add(i);
            try {
                play(seed, events, without);
                without.remove(i);
            } catch (final AssertionError e) {
                last = e;
            }
        }
        return last;
    }

    private void play(final int events, final Set<Integer> without) {
        try {
            prepare();
            for (int i = 0; i < events; i++) {
                if (!without.contains(i)) {
                    useRandom(i);
                    mTrace.add(i + " " + drawEvent());
                    mRelay.settle();
                }
            }
            finish(events);
        } catch (final AssertionError e) {
            throw new AssertionError(
                    "seed " + mSeed + ": " + e.getMessage() + "\n" + String.join("\n", mTrace), e);
        }
    }

    private void useRandom(final int event) {
        mRandom = new SplittableRandom(mSeed * 1_000_003 + event);
        mRandom.nextLong();
        mRelay.useRandom(mRandom);
    }

    private void prepare() {
        useRandom(-1);
        mRelay.advance(STEP_MILLIS);
        configure();
        setReplicas(REPLICAS, 1);
        mRelay.newCaller();
        mRelay.settle();
    }

    private String drawEvent() {
        final int draw = mRandom.nextInt(PERCENT);
        if (draw < 18) {
            return sendRequest();
        } else if (draw < 30) {
            return sendPart();
        } else if (draw < 40) {
            return endConnect();
        } else if (draw < 70) {
            return sendOutput();
        } else if (draw < 82) {
            final int millis = mRandom.nextInt(8) == 0 ? 1_200 : 1 + mRandom.nextInt(90);
            mRelay.advance(millis);
            return "advance " + millis;
        } else if (draw < 89) {
            return changeCaller();
        } else if (draw < 94) {
            return changeReplicaConnection();
        } else if (draw < 97) {
            return "fault " + armFault();
        } else if (draw < 99) {
            return changeDirectory();
        }
        if (mRandom.nextInt(4) == 0) {
            mRelay.beginShutdown();
            return "shutdown";
        }
        return "nothing";
    }

    private String sendRequest() {
        final VirtualCaller caller = anyOpenCaller();
        if (caller.unanswered() >= MAXIMUM_PIPELINED) {
            return "no request";
        }
        final VirtualRequest.Kind[] kinds = VirtualRequest.Kind.values();
        final VirtualRequest request = mRelay.newRequest(kinds[mRandom.nextInt(kinds.length)]);
        caller.add(request, mRandom);
        caller.sendPart();
        return "request " + request.id() + " of " + request.kind();
    }

    private VirtualCaller anyOpenCaller() {
        final List<VirtualCaller> open = openCallers();
        return open.isEmpty() || open.size() < MAXIMUM_CALLERS && mRandom.nextInt(3) == 0
                ? mRelay.newCaller()
                : any(open);
    }

    private String sendPart() {
        final List<VirtualCaller> sending =
                openCallers().stream().filter(VirtualCaller::hasParts).toList();
        if (!sending.isEmpty()) {
            any(sending).sendPart();
        }
        return "part";
    }

    private String endConnect() {
        final boolean succeeds = mRandom.nextInt(12) != 0;
        final boolean closesAtOnce = mRandom.nextInt(20) == 0;
        mRelay.endConnect(succeeds, closesAtOnce);
        return "connect " + succeeds + " " + closesAtOnce;
    }

    private String sendOutput() {
        final List<VirtualReplicaConnection> ready =
                connections(VirtualReplicaConnection::hasOutput);
        return ready.isEmpty() ? "no output" : "output " + any(ready).sendNext();
    }

    private String changeCaller() {
        final List<VirtualCaller> open = openCallers();
        if (open.isEmpty()) {
            return "no caller";
        }
        final VirtualCaller caller = any(open);
        final int draw = mRandom.nextInt(8);
        if (draw < 3) {
            caller.leave(draw == 0);
            return "caller leaves";
        }
        final int bytes = draw < 6 ? 20 * draw : Integer.MAX_VALUE;
        caller.channel().limitWrites(bytes);
        return "caller reads " + bytes;
    }

    private String changeReplicaConnection() {
        final List<VirtualReplicaConnection> open =
                connections(connection -> connection.channel().isOpen());
        if (open.isEmpty()) {
            return "no connection";
        }
        final VirtualReplicaConnection connection = any(open);
        final int draw = mRandom.nextInt(6);
        if (draw < 3) {
            connection.breakOff(Then.values()[1 + draw]);
            return "replica breaks off " + Then.values()[1 + draw];
        }
        connection.channel().limitWrites(draw == 3 ? 30 : Integer.MAX_VALUE);
        return "replica reads";
    }

    private String armFault() {
        final int calls = 1 + mRandom.nextInt(4);
        final boolean isError = mRandom.nextBoolean();
        mRelay.faults().arm(calls, isError);
        return calls + (isError ? " Error" : " RuntimeException");
    }

    private String changeDirectory() {
        if (mRandom.nextInt(4) == 0) {
            return evacuate();
        }
        if (mRandom.nextInt(3) == 0) {
            configure();
            return "configuration";
        }
        final int count = mRandom.nextInt(REPLICAS + 1);
        setReplicas(count, 1 + mRandom.nextInt(2));
        return "replicas " + count;
    }

    /** Evacuates some of the zones, and takes the others back. */
    private String evacuate() {
        final Set<String> zones = new TreeSet<>();
        for (int i = 0; i < REPLICAS; i++) {
            if (mRandom.nextBoolean()) {
                zones.add("z" + i);
            }
        }
        mRelay.guarded(() -> mRelay.evacuate(zones));
        return "evacuated " + zones;
    }

    private void configure() {
        mVersion++;
        final int attempts = 1 + mRandom.nextInt(3);
        final double rate = mRandom.nextInt(8) == 0 ? 4 : 0;
        mRelay.guarded(
                () ->
                        mRelay.service()
                                .onConfiguration(
                                        RelayFixture.configuration(mVersion, attempts, rate)));
    }

    private void setReplicas(final int count, final long startedMillis) {
        final List<ReplicaEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new ReplicaEntry(
                            "r" + i, "app", "127.0.0.1", 1 + i, "z" + i, 2, false, startedMillis));
        }
        mRelay.guarded(() -> mRelay.onReplicas(entries));
    }

    /** Lets everything end and the deadlines pass. */
    private void finish(final int events) {
        mTrace.add("finish");
        useRandom(events);
        mRelay.faults().disarm();
        mRelay.callers().forEach(caller -> caller.channel().limitWrites(Integer.MAX_VALUE));
        mRelay.settle();
        final long end = LONGEST_REQUEST_MILLIS * MAXIMUM_PIPELINED;
        for (long passed = 0;
                passed < end && (passed < LONGEST_REQUEST_MILLIS || !mRelay.isQuiet());
                passed += STEP_MILLIS) {
            openCallers().forEach(VirtualCaller::sendPart);
            mRelay.endConnect(true, false);
            for (final VirtualReplicaConnection connection :
                    connections(VirtualReplicaConnection::hasOutput)) {
                connection.channel().limitWrites(Integer.MAX_VALUE);
                connection.sendNext();
            }
            mRelay.advance(STEP_MILLIS);
        }
        while (mRelay.isConnecting()) {
            mRelay.endConnect(true, false);
            mRelay.settle();
        }
        mRelay.checkAtRest();
    }

    private List<VirtualCaller> openCallers() {
        return mRelay.callers().stream().filter(VirtualCaller::isOpen).toList();
    }

    private List<VirtualReplicaConnection> connections(
            final Predicate<VirtualReplicaConnection> condition) {
        return mRelay.replicaConnections().stream().filter(condition).toList();
    }

    private <T> T any(final List<T> list) {
        return list.get(mRandom.nextInt(list.size()));
    }
}
