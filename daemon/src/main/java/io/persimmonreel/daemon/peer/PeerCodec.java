package io.persimmonreel.daemon.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.RateLimitState;
import io.persimmonreel.core.peer.ReplicaCrash;
import io.persimmonreel.core.peer.SlotClaim;
import io.persimmonreel.core.peer.SlotGrant;
import io.persimmonreel.core.peer.SlotPlace;
import io.persimmonreel.core.peer.SlotRelease;
import io.persimmonreel.core.peer.SlotUse;
import io.persimmonreel.core.peer.StreamOrigin;
import io.persimmonreel.core.peer.StreamQuestion;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.request.Step;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes messages as MessagePack arrays {@code [type, [fields...]]}.
 *
 * <p>The type is the index of the record class in a fixed list; new types and new fields are
 * appended, since an index must not change. Daemons of two builds run side by side: what this build
 * doesn't know of a message of a newer one is skipped. Instances are thread safe.
 */
public final class PeerCodec {
    /** The maximum frame size: 1 MiB for a configuration and 64 KiB for the rest of the message. */
    static final int MAXIMUM_FRAME_BYTES = (1 << 20) + (1 << 16);

    private static final int MAXIMUM_NESTING_DEPTH = 8;

    static final List<Class<? extends Record>> MESSAGE_TYPES =
            List.of(
                    Hello.class,
                    Proof.class,
                    PeerMessage.Heartbeat.class,
                    PeerMessage.ClaimRequest.class,
                    PeerMessage.ClaimReply.class,
                    PeerMessage.ClaimRelease.class,
                    PeerMessage.ClaimQuery.class,
                    PeerMessage.OutcomeNotice.class,
                    PeerMessage.AnswerRequest.class,
                    PeerMessage.AnswerReply.class,
                    PeerMessage.ConfigRequest.class,
                    PeerMessage.ConfigPart.class,
                    PeerMessage.QuarantineNotice.class,
                    PeerMessage.ShedNotice.class,
                    PeerMessage.ExplainRequest.class,
                    PeerMessage.ExplainReply.class,
                    PeerMessage.Leaving.class,
                    PeerMessage.MemberGossip.class,
                    PeerMessage.RelayDigest.class,
                    PeerMessage.DirectoryRequest.class,
                    PeerMessage.DirectoryCopy.class,
                    PeerMessage.UnitTransfer.class,
                    PeerMessage.PartNotice.class,
                    PeerMessage.RateLimitNotice.class,
                    PeerMessage.FleetMembers.class,
                    PeerMessage.ReplicaCrashNotice.class,
                    PeerMessage.MemberNames.class,
                    PeerMessage.SlotTransfer.class,
                    PeerMessage.StreamTransfer.class,
                    PeerMessage.SlotPlaces.class);

    private static final List<Class<? extends Record>> NESTED_TYPES =
            List.of(
                    PeerMessage.PeerLoad.class,
                    PeerMessage.MemberNews.class,
                    PeerMessage.ReplicaWork.class,
                    PeerMessage.PartState.class,
                    RateLimitState.class,
                    ReplicaCrash.class,
                    PeerMessage.UnitClaim.class,
                    PeerMessage.UnitGrant.class,
                    PeerMessage.UnitShortage.class,
                    DirectoryVersion.class,
                    SlotClaim.class,
                    SlotGrant.class,
                    SlotRelease.class,
                    SlotUse.class,
                    SlotPlace.class,
                    StreamOrigin.class,
                    StreamQuestion.class,
                    RequestIdentity.class,
                    DecisionRecord.class);

    private final ObjectMapper mMapper;
    private final Map<Class<?>, Integer> mTypeCodes = new HashMap<>();

    /** Creates a codec. */
    public PeerCodec() {
        final MessagePackFactory factory = new MessagePackFactory();
        factory.setStreamReadConstraints(
                StreamReadConstraints.builder()
                        .maxStringLength(MAXIMUM_FRAME_BYTES)
                        .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                        .build());
        mMapper = new ObjectMapper(factory);
        mMapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        mMapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
        for (int i = 0; i < MESSAGE_TYPES.size(); i++) {
            mTypeCodes.put(MESSAGE_TYPES.get(i), i);
            useArrayFormat(MESSAGE_TYPES.get(i));
        }
        NESTED_TYPES.forEach(this::useArrayFormat);
    }

    /**
     * Encodes a message.
     *
     * @param message a record of a known type
     * @return the frame without its length prefix
     * @throws PeerException if the message can't be encoded or is too large
     */
    public byte[] encode(final Record message) throws PeerException {
        final Integer code = mTypeCodes.get(message.getClass());
        if (code == null) {
            throw malformed("no type code for " + message.getClass().getSimpleName(), null);
        }
        try {
            final byte[] bytes = mMapper.writeValueAsBytes(new Object[] {code, message});
            if (bytes.length > MAXIMUM_FRAME_BYTES) {
                throw malformed("frame of " + bytes.length + " bytes is too large", null);
            }
            return bytes;
        } catch (final IOException e) {
            throw malformed("message can't be encoded", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the frame without its length prefix
     * @return the message, an {@link UnknownMessage} if its type is not known to this build
     * @throws PeerException if the frame is not a message
     */
    public Record decode(final byte[] bytes) throws PeerException {
        // Reads directly into the record, since decoding via a tree of nodes costs twice as much.
        try (JsonParser parser = mMapper.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_ARRAY
                    || parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                throw malformed("frame is not a pair of type and fields", null);
            }
            final int code = parser.getIntValue();
            if (code < 0) {
                throw malformed("unknown message type " + code, null);
            }
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw malformed("message fields are not an array", null);
            }
            final Record message = readFields(parser, code);
            if (parser.nextToken() != JsonToken.END_ARRAY) {
                throw malformed("frame is not a pair of type and fields", null);
            }
            if (parser.currentLocation().getByteOffset() != bytes.length) {
                throw malformed("frame continues after the message", null);
            }
            return message;
        } catch (final IOException | RuntimeException e) {
            throw malformed("frame can't be decoded", e);
        }
    }

    private Record readFields(final JsonParser parser, final int code) throws IOException {
        if (code < MESSAGE_TYPES.size()) {
            return mMapper.readValue(parser, MESSAGE_TYPES.get(code));
        }
        parser.skipChildren();
        return new UnknownMessage(code);
    }

    private void useArrayFormat(final Class<?> type) {
        mMapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    }

    private static PeerException malformed(final String detail, final Throwable cause) {
        return new PeerException(Step.RECEIVE, "peer", detail, cause);
    }
}
