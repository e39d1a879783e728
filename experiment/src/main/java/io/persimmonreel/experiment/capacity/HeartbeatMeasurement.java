package io.persimmonreel.experiment.capacity;

import io.persimmonreel.core.membership.Membership;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.Heartbeat;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.daemon.peer.PeerCodec;
import io.persimmonreel.daemon.peer.PeerException;
import java.io.PrintStream;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/** Measures the size of heartbeats, and the time to encode, decode and handle them. */
final class HeartbeatMeasurement {
    private static final int[] REPLICAS = {8, 16, 32, 64, 128};
    private static final int[] PEERS = {6, 12, 24, 48};
    private static final int DESIGN_REPLICAS = 57;
    private static final int DESIGN_PEERS = 12;

    private final PrintStream mOut;
    private final PeerCodec mCodec = new PeerCodec();

    HeartbeatMeasurement(final PrintStream out) {
        mOut = out;
    }

    void run() {
        final LinearFit size = new LinearFit("heartbeat", "replicas in its load", "bytes");
        final LinearFit time = new LinearFit("encode and decode a heartbeat", "replicas", "us");
        for (final int replicas : REPLICAS) {
            final Heartbeat heartbeat = newHeartbeat(replicas, 1);
            size.add(replicas, encode(heartbeat).length);
            time.add(replicas, Meter.medianMicros(2_000, () -> decode(encode(heartbeat))));
        }
        size.print(mOut, DESIGN_REPLICAS);
        time.print(mOut, DESIGN_REPLICAS);
        final LinearFit round =
                new LinearFit("membership for one round of heartbeats", "peers", "us");
        for (final int peers : PEERS) {
            final Membership membership =
                    new Membership(
                            new Incarnation(1),
                            1,
                            "a",
                            CapacityMeasurement.fixedTime(),
                            new Random(1));
            round.add(peers, Meter.medianMicros(500, () -> handleHeartbeats(membership, peers)));
        }
        round.print(mOut, DESIGN_PEERS);
    }

    private static void handleHeartbeats(final Membership membership, final int peers) {
        for (int peer = 0; peer < peers; peer++) {
            membership.onMessage(new Incarnation(peer + 2L), newHeartbeat(0, peer + 2));
        }
        membership.onTimer(CapacityMeasurement.fixedTime().monotonicNanos());
    }

    private static Heartbeat newHeartbeat(final int replicas, final int slot) {
        final List<String> ids =
                IntStream.range(0, replicas).mapToObj(i -> "m1-" + (1_000 + i)).toList();
        final List<PeerLoad> load =
                replicas == 0
                        ? List.of()
                        : List.of(
                                new PeerLoad(
                                        "m1",
                                        12.5,
                                        ids,
                                        Collections.nCopies(replicas, 9),
                                        Collections.nCopies(replicas, 4_000)));
        return new Heartbeat(
                100_000,
                slot,
                "a",
                false,
                1_790_000_000_000L,
                19_000,
                "ab".repeat(32),
                load,
                List.of());
    }

    private byte[] encode(final Heartbeat heartbeat) {
        try {
            return mCodec.encode(heartbeat);
        } catch (final PeerException e) {
            throw new IllegalStateException("heartbeat can't be encoded", e);
        }
    }

    private Record decode(final byte[] bytes) {
        try {
            return mCodec.decode(bytes);
        } catch (final PeerException e) {
            throw new IllegalStateException("heartbeat can't be decoded", e);
        }
    }
}
