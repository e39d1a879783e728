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

/** Measures the memory and the time that a claim costs the member that grants it. */
final class ClaimMeasurement {
    private static final int[] TABLE_SIZES = {10_000, 30_000, 60_000, 100_000};
    private static final int DESIGN_TABLE_SIZE = 100_000;
    private static final long TICK_INTERVAL_NANOS = 100_000_000L;
    private static final long WARM_UP_NANOS = 60_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String CONTENT_DIGEST = "ab".repeat(32);

    private final PrintStream mOut;

    ClaimMeasurement(final PrintStream out) {
        mOut = out;
    }

    void run() throws InterruptedException {
        final LinearFit memory = new LinearFit("claims in a member's table", "claims", "MB");
        final LinearFit time =
                new LinearFit("claim request at a member", "claims in the table", "us");
        for (final int entries : TABLE_SIZES) {
            memory.add(entries, Meter.retainedMegabytes(() -> filled(entries).manager()));
            final Member member = filled(entries);
            time.add(entries, Meter.medianMicros(1_000, member::claim));
        }
        memory.print(mOut, DESIGN_TABLE_SIZE);
        time.print(mOut, DESIGN_TABLE_SIZE);
    }

    private static Member filled(final int entries) {
        final Member member = new Member();
        for (int i = 0; i < entries; i++) {
            member.claim();
        }
        return member;
    }

    /** Contains a member with enough uptime to grant claims, and counts its grants. */
    private static final class Member {
        private static final long START_WALL_MILLIS = 1_790_000_000_000L;

        private final AtomicLong mNowNanos = new AtomicLong();
        private final AtomicLong mGranted = new AtomicLong();
        private final Incarnation mRequester = new Incarnation(2);
        private final ClaimManager mManager;
        private long mLastNumber;

        Member() {
            mManager =
                    new ClaimManager(
                            new Incarnation(1),
                            1,
                            time(),
                            (to, message) -> countGrant(message),
                            record -> {},
                            "capacity".getBytes(StandardCharsets.UTF_8));
            try {
                mManager.configure(
                        new OperatorTextParser()
                                .parse("generated", 1, OperatorTextGenerator.text(1, 1)));
            } catch (final ConfigurationException e) {
                throw new IllegalStateException("generated text was rejected", e);
            }
            mManager.updateLiveMembers(Map.of(new Incarnation(1), 1, mRequester, 2));
            while (mNowNanos.get() < WARM_UP_NANOS) {
                mNowNanos.addAndGet(TICK_INTERVAL_NANOS);
                mManager.onTimer(mNowNanos.get());
            }
        }

        ClaimManager manager() {
            return mManager;
        }

        /** Sends the member a claim request for a new key, and checks that it is granted. */
        void claim() {
            final long number = ++mLastNumber;
            final long millis = START_WALL_MILLIS + mNowNanos.get() / NANOS_PER_MILLI;
            final UUID key =
                    new UUID(millis << 16 | 0x7000L, Long.MIN_VALUE | number & Long.MAX_VALUE >> 2);
            final RequestIdentity identity = new RequestIdentity("c0", "s0", key.toString());
            mManager.onMessage(
                    mRequester, new PeerMessage.ClaimRequest(number, identity, CONTENT_DIGEST));
            if (mGranted.get() != number) {
                throw new IllegalStateException("claim " + number + " was not granted");
            }
        }

        private void countGrant(final PeerMessage message) {
            if (message instanceof PeerMessage.ClaimReply reply
                    && reply.verdict() == PeerMessage.ClaimVerdict.GRANTED) {
                mGranted.incrementAndGet();
            }
        }

        private TimeSource time() {
            return new TimeSource() {
                @Override
                public long monotonicNanos() {
                    return mNowNanos.get();
                }

                @Override
                public long wallMillis() {
                    return START_WALL_MILLIS + mNowNanos.get() / NANOS_PER_MILLI;
                }
            };
        }
    }
}
