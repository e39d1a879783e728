package io.persimmonreel.daemon.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.request.Step;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes frames as MessagePack arrays {@code [type, [fields...]]}.
 *
 * <p>The type is the index of the record in a fixed list; new types are added at its end. Instances
 * are thread safe.
 */
public final class PeerCodec {
    /** The largest frame in bytes: a configuration of 1 MiB and 64 KiB for its envelope. */
    static final int MAXIMUM_FRAME_BYTES = (1 << 20) + (1 << 16);

    private static final int MAXIMUM_NESTING = 8;

    private static final List<Class<? extends Record>> TYPES =
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
                    PeerMessage.QuotaLevels.class);

    private static final List<Class<? extends Record>> NESTED =
            List.of(
                    PeerMessage.PeerLoad.class,
                    PeerMessage.MemberNews.class,
                    PeerMessage.ReplicaWork.class,
                    RequestIdentity.class,
                    DecisionRecord.class);

    private final ObjectMapper mMapper;
    private final Map<Class<?>, Integer> mCodes = new HashMap<>();

    /** Creates a codec. */
    public PeerCodec() {
        final MessagePackFactory factory = new MessagePackFactory();
        factory.setStreamReadConstraints(
                StreamReadConstraints.builder()
                        .maxStringLength(MAXIMUM_FRAME_BYTES)
                        .maxNestingDepth(MAXIMUM_NESTING)
                        .build());
        mMapper = new ObjectMapper(factory);
        mMapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        mMapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
        for (int i = 0; i < TYPES.size(); i++) {
            mCodes.put(TYPES.get(i), i);
            encodeAsArray(TYPES.get(i));
        }
        NESTED.forEach(this::encodeAsArray);
    }

    /**
     * Encodes a message.
     *
     * @param message a record of a known type
     * @return the bytes of the frame, without its length
     * @throws PeerException if the message can't be encoded or is too large
     */
    public byte[] encode(final Record message) throws PeerException {
        final Integer code = mCodes.get(message.getClass());
        if (code == null) {
            throw malformed("no code for " + message.getClass().getSimpleName(), null);
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
     * @param bytes the bytes of the frame, without its length
     * @return the message, never null
     * @throws PeerException if the bytes are not a message of a known type
     */
    public Record decode(final byte[] bytes) throws PeerException {
        // Reads the fields straight into the record, since a tree of nodes doubles the cost.
        try (JsonParser parser = mMapper.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_ARRAY
                    || parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                throw malformed("frame is not a pair of type and fields", null);
            }
            final int code = parser.getIntValue();
            if (code < 0 || code >= TYPES.size()) {
                throw malformed("unknown message type " + code, null);
            }
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw malformed("message has no fields", null);
            }
            final Record message = mMapper.readValue(parser, TYPES.get(code));
            if (parser.nextToken() != JsonToken.END_ARRAY) {
                throw malformed("frame is not a pair of type and fields", null);
            }
            if (parser.currentLocation().getByteOffset() != bytes.length) {
                throw malformed("frame has bytes after its message", null);
            }
            return message;
        } catch (final IOException | RuntimeException e) {
            throw malformed("frame can't be decoded", e);
        }
    }

    private void encodeAsArray(final Class<?> type) {
        mMapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    }

    private static PeerException malformed(final String detail, final Throwable cause) {
        return new PeerException(Step.RECEIVE, "peer", detail, cause);
    }
}
