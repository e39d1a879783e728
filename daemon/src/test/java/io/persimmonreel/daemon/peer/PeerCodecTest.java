package io.persimmonreel.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.SlotClaim;
import io.persimmonreel.core.peer.SlotGrant;
import io.persimmonreel.core.peer.SlotRelease;
import io.persimmonreel.core.peer.SlotUse;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.Tier;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerCodecTest {
    private static final long SEED = 20261204L;
    private static final int MUTATED_FRAMES = 20_000;

    private final PeerCodec mCodec = new PeerCodec();

    private static final PeerMessage.Heartbeat HEARTBEAT =
            new PeerMessage.Heartbeat(
                    7,
                    3,
                    "lahore",
                    false,
                    1_700_000_000_000L,
                    9,
                    "digest",
                    List.of(
                            new PeerMessage.PeerLoad(
                                    "assistant", 2.5, List.of("a-1"), List.of(4), List.of(900))),
                    List.of(new PeerMessage.ShedNotice("assistant", Tier.HIGH, 120)));

    @Nested
    class KnownMessages {
        @Test
        void surviveEncodingAndDecoding() throws PeerException {
            final PeerMessage claim =
                    new PeerMessage.ClaimRequest(
                            1, new RequestIdentity("c", "s", "key-12345"), "00ff");
            final PeerMessage reply =
                    new PeerMessage.ExplainReply(
                            4, List.of(new DecisionRecord(1, "r", Step.ROUTE, "sent", "a", "b")));
            final PeerMessage parts =
                    new PeerMessage.PartNotice(
                            List.of(
                                    new PeerMessage.PartState(
                                            "s", -7L, 2, 1_500, 0, List.of(8L, -9L))));
            assertThat(mCodec.decode(mCodec.encode((Record) parts))).isEqualTo(parts);
            assertThat(mCodec.decode(mCodec.encode(HEARTBEAT))).isEqualTo(HEARTBEAT);
            assertThat(mCodec.decode(mCodec.encode((Record) claim))).isEqualTo(claim);
            assertThat(mCodec.decode(mCodec.encode((Record) reply))).isEqualTo(reply);
            assertThat(mCodec.decode(mCodec.encode(new PeerMessage.Leaving())))
                    .isEqualTo(new PeerMessage.Leaving());
        }

        /** The era decides between two directories; without it, the revision would. */
        @Test
        void carryTheEraOfTheDirectory() throws PeerException {
            final DirectoryVersion version = new DirectoryVersion(3, 90);
            final PeerMessage digest =
                    new PeerMessage.RelayDigest(
                            "10.0.0.1:1", false, 1, List.of(), version, 8, List.of());
            final PeerMessage request = new PeerMessage.DirectoryRequest(version, 8, 2);
            final PeerMessage.DirectoryCopy copy =
                    new PeerMessage.DirectoryCopy(
                            version, 2, List.of("r1"), List.of(new byte[] {5}), List.of("r1"));
            assertThat(mCodec.decode(mCodec.encode((Record) digest))).isEqualTo(digest);
            assertThat(mCodec.decode(mCodec.encode((Record) request))).isEqualTo(request);
            assertThat(mCodec.decode(mCodec.encode(copy)))
                    .usingRecursiveComparison()
                    .isEqualTo(copy);
        }

        /** Guards against a nested type that the codec does not know. */
        @Test
        void includeClaimsAndGrantsOfSlots() throws PeerException {
            final PeerMessage transfer =
                    new PeerMessage.SlotTransfer(
                            List.of(
                                    new SlotClaim(
                                            "10.0.0.1:1", "db", 7, 2, -3, 900, List.of("r1"))),
                            List.of(new SlotRelease("10.0.0.1:1", "db", 5, "r2", 57_100)),
                            List.of(new SlotUse("10.0.0.1:1", "db", 6, "r3")),
                            List.of(
                                    new SlotGrant("10.0.0.2:1", 8, "db", "r4", 0),
                                    new SlotGrant("10.0.0.2:1", 9, "db", "", 120)));
            assertThat(mCodec.decode(mCodec.encode((Record) transfer))).isEqualTo(transfer);
        }

        /** Guards against heartbeats that exceed the budget for control traffic. */
        @Test
        void keepAHeartbeatBelow128Bytes() throws PeerException {
            assertThat(mCodec.encode(HEARTBEAT).length).isLessThan(128);
        }
    }

    @Nested
    class MalformedFrames {
        /** Guards against a hang, or an exception of another type, on malformed input. */
        @Test
        void failWithAPeerException() throws PeerException {
            final Random random = new Random(SEED);
            final byte[] valid = mCodec.encode(HEARTBEAT);
            int rejected = 0;
            for (int i = 0; i < MUTATED_FRAMES; i++) {
                final byte[] mutated = valid.clone();
                for (int changes = random.nextInt(4); changes >= 0; changes--) {
                    mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
                }
                try {
                    assertThat(mCodec.decode(mutated)).isNotNull();
                } catch (final PeerException e) {
                    rejected++;
                    assertThat(e.step()).isEqualTo(Step.RECEIVE);
                }
            }
            assertThat(rejected).isPositive();
        }

        @Test
        void includeNegativeMessageTypesAndEmptyFrames() {
            assertThatThrownBy(() -> mCodec.decode(bytes("92ff90")))
                    .isInstanceOf(PeerException.class)
                    .hasMessageContaining("unknown message type");
            assertThatThrownBy(() -> mCodec.decode(new byte[0])).isInstanceOf(PeerException.class);
        }

        /** Guards against a skipped message whose frame is broken. */
        @ParameterizedTest
        @ValueSource(strings = {"927f", "927f01", "927f91", "927f9290", "927f9000", "937f90c0"})
        void includeUnknownMessageTypesThatAreNotWhole(final String frame) {
            assertThatThrownBy(() -> mCodec.decode(bytes(frame))).isInstanceOf(PeerException.class);
        }
    }

    @Nested
    class NewerBuilds {
        /** Guards against a connection that is closed because a build knows fewer types. */
        @ParameterizedTest
        @ValueSource(strings = {"927f90", "927f93a17891c4020102c0"})
        void mayHaveMoreMessageTypes(final String frame) throws PeerException {
            assertThat(mCodec.decode(bytes(frame))).isEqualTo(new UnknownMessage(0x7f));
        }

        /** Guards against a connection that is closed because a build knows fewer fields. */
        @Test
        void mayHaveMoreFields() throws PeerException {
            final byte[] frame = mCodec.encode(new PeerMessage.ConfigRequest(3, "digest"));
            final ByteArrayOutputStream newer = new ByteArrayOutputStream();
            newer.writeBytes(Arrays.copyOf(frame, 2));
            newer.write(frame[2] + 2);
            newer.writeBytes(Arrays.copyOfRange(frame, 3, frame.length));
            newer.writeBytes(bytes("91a178c0"));
            assertThat(mCodec.decode(newer.toByteArray()))
                    .isEqualTo(new PeerMessage.ConfigRequest(3, "digest"));
        }
    }

    private static byte[] bytes(final String hex) {
        return HexFormat.of().parseHex(hex);
    }
}
