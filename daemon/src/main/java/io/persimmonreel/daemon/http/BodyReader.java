package io.persimmonreel.daemon.http;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.persimmonreel.core.request.RequestException;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.daemon.request.EngineInput;
import io.persimmonreel.daemon.request.Submission;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/** Parses request bodies and builds the submissions that the coordinator takes. */
final class BodyReader {
    /** A rough mean over languages; the scheduler corrects its estimates by measured latency. */
    private static final int BYTES_PER_TOKEN = 4;

    /** Far above what a service needs; deeper nesting would only use up the stack. */
    private static final int MAXIMUM_DEPTH = 64;

    private final ObjectMapper mMapper;

    BodyReader() {
        mMapper =
                JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
        mMapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_DEPTH).build());
    }

    /**
     * Parses a body.
     *
     * @param head what was read from the request's headers
     * @param body the body, within the service's size limit
     * @return the submission
     * @throws RequestException if the body is malformed
     */
    Submission read(final RequestHead head, final byte[] body) throws RequestException {
        final JsonNode document = parse(head, body);
        final Optional<EngineInput> input =
                head.upstream().kind() == UpstreamKind.ENGINE
                        ? Optional.of(engineInput(head, document))
                        : Optional.empty();
        return new Submission(
                head.requestId(),
                head.customer().id(),
                head.service(),
                head.upstream(),
                head.tier(),
                head.arrivalNanos(),
                head.deadlineNanos(),
                head.idempotencyKey(),
                body,
                HexFormat.of().formatHex(sha256(body)),
                input);
    }

    private JsonNode parse(final RequestHead head, final byte[] body) throws RequestException {
        try {
            final JsonNode document = mMapper.readTree(body);
            if (!document.isMissingNode()) {
                return document;
            }
        } catch (final IOException e) {
            // The parser's message quotes the body, which must not get into logs or decision
            // records.
            throw RequestHeadReader.malformed("the body is not a JSON document", head.requestId());
        }
        throw RequestHeadReader.malformed("the body is empty", head.requestId());
    }

    private static EngineInput engineInput(final RequestHead head, final JsonNode document)
            throws RequestException {
        final JsonNode promptNode = document.path("prompt");
        final JsonNode prefixNode = document.path("prefix");
        final JsonNode maximumNode = document.path("maxOutputTokens");
        if (!promptNode.isTextual() || promptNode.textValue().isEmpty()) {
            throw RequestHeadReader.malformed("prompt is not a text", head.requestId());
        }
        if (!prefixNode.isMissingNode() && !prefixNode.isTextual()) {
            throw RequestHeadReader.malformed("prefix is not a text", head.requestId());
        }
        if (!maximumNode.isMissingNode()
                && (!maximumNode.canConvertToInt() || maximumNode.intValue() < 1)) {
            throw RequestHeadReader.malformed(
                    "maxOutputTokens is not a positive number", head.requestId());
        }
        final int serviceMaximum = head.service().maximumOutputTokens();
        final String prefix = prefixNode.asText("");
        final String fullPrompt = prefix + promptNode.textValue();
        return new EngineInput(
                fullPrompt,
                prefix.length(),
                estimatedTokens(fullPrompt),
                prefix.isEmpty() ? 0 : prefixHash(prefix),
                prefix.isEmpty() ? 0 : estimatedTokens(prefix),
                maximumNode.isMissingNode()
                        ? serviceMaximum
                        : Math.min(serviceMaximum, maximumNode.intValue()));
    }

    private static int estimatedTokens(final String text) {
        final int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    private static long prefixHash(final String prefix) {
        final long hash =
                ByteBuffer.wrap(sha256(prefix.getBytes(StandardCharsets.UTF_8))).getLong();
        return hash == 0 ? 1 : hash;
    }

    private static byte[] sha256(final byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
