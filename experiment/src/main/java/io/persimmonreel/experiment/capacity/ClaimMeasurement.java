package io.persimmonreel.experiment.capacity;

import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.time.TimeSource;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Measures the cost of a claim at a member. */
final class ClaimMeasurement {
    private static final int[] ENTRIES = {10_000, 30_000, 60_000, 100_000};
    private static final int DESIGN_ENTRIES = 100_000;
    private static final long TICK_NANOS = 100_000_000L;
    private static final long WARM_UP_NANOS = 60_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String DIGEST = "ab".repeat(32);

    private final PrintStream mOut;

    ClaimMeasurement(final PrintStream out) {
        mOut = out;
    }

    void run() throws InterruptedException {
        final Slope memory = new Slope("claims in a member's table", "claims", "MB");
        final Slope time = new Slope("claim request at a member", "claims in the table", "us");
        for (final int entries : ENTRIES) {
            memory.add(entries, Meter.retainedMegabytes(() -> filled(entries).manager()));
            final Member member = filled(entries);
            time.add(entries, Meter.micros(1_000, member::claim));
        }
        memory.print(mOut, DESIGN_ENTRIES);
        time.print(mOut, DESIGN_ENTRIES);
    }

    private static Member filled(final int entries) {
        final Member member = new Member();
        for (int i = 0; i < entries; i++) {
            member.claim();
        }
        return member;
    }

    /** A member that has run for long enough to vouch and counts what it grants. */
    private static final class Member {
        private static final long START_WALL_MILLIS = 1_790_000_000_000L;

        private final AtomicLong mNanos = new AtomicLong();
        private final AtomicLong mGranted = new AtomicLong();
        private final Incarnation mOther = new Incarnation(2);
        private final ClaimManager mManager;
        private long mNext;

        Member() {
            mManager =
                    new ClaimManager(
                            new Incarnation(1),
                            1,
                            time(),
                            (to, message) -> count(message),
                            record -> {},
                            "capacity".getBytes(StandardCharsets.UTF_8));
            try {
                mManager.configure(
                        new OperatorTextParser().parse("generated", 1, TextGenerator.text(1, 1)));
            } catch (final ConfigurationException e) {
                throw new IllegalStateException("generated text was rejected", e);
            }
            mManager.updateLiveMembers(Map.of(new Incarnation(1), 1, mOther, 2));
            while (mNanos.get() < WARM_UP_NANOS) {
                mNanos.addAndGet(TICK_NANOS);
                mManager.onTimer(mNanos.get());
            }
        }

        ClaimManager manager() {
            return mManager;
        }

        void claim() {
            final long number = ++mNext;
            final long millis = START_WALL_MILLIS + mNanos.get() / NANOS_PER_MILLI;
            final UUID key =
                    new UUID(millis << 16 | 0x7000L, Long.MIN_VALUE | number & Long.MAX_VALUE >> 2);
            final RequestIdentity identity = new RequestIdentity("c0", "s0", key.toString());
            mManager.onMessage(mOther, new PeerMessage.ClaimRequest(number, identity, DIGEST));
            if (mGranted.get() != number) {
                throw new IllegalStateException("claim " + number + " was not granted");
            }
        }

        private void count(final PeerMessage message) {
            if (message instanceof PeerMessage.ClaimReply reply
                    && reply.verdict() == PeerMessage.ClaimVerdict.GRANTED) {
                mGranted.incrementAndGet();
            }
        }

        private TimeSource time() {
            return new TimeSource() {
                @Override
                public long monotonicNanos() {
                    return mNanos.get();
                }

                @Override
                public long wallMillis() {
                    return START_WALL_MILLIS + mNanos.get() / NANOS_PER_MILLI;
                }
            };
        }
    }
}
