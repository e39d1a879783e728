package io.persimmonreel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads one response and checks that it is complete and belongs to the request: request id, token
 * indexes, token count, digest and end mark (the {@code end} event).
 */
final class AnswerReader {
    private final ObjectMapper mJson = new ObjectMapper();
    private final int mStatus;
    private final String mRequestId;
    private final Consumer<String> mOnToken;
    private final LongSupplier mNanoClock;
    private final long mStartNanos;
    private final StringBuilder mText = new StringBuilder();
    private int mTokens;
    private long mFirstNanos;
    private String mFault = "";
    private Answer mResult;

    /**
     * Creates a reader.
     *
     * @param status the HTTP status
     * @param requestId the request id in the response headers
     * @param onToken called with the text of each token
     * @param nanoClock the monotonic clock, in nanoseconds
     * @param startNanos the time at which the request was sent
     */
    AnswerReader(
            final int status,
            final String requestId,
            final Consumer<String> onToken,
            final LongSupplier nanoClock,
            final long startNanos) {
        mStatus = status;
        mRequestId = requestId;
        mOnToken = onToken;
        mNanoClock = nanoClock;
        mStartNanos = startNanos;
    }

    /** Reads server-sent events until the connection ends. */
    Answer events(final BufferedReader reader) throws IOException {
        String event = "";
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).strip();
            } else if (line.startsWith("data:")) {
                if (mResult != null) {
                    recordFault("an event follows the end mark");
                }
                onEvent(event, mJson.readTree(line.substring("data:".length())));
            }
        }
        if (mResult == null) {
            return withTimes(
                    Answer.lost(mStatus, mRequestId, "the stream ended without an end mark"));
        }
        return withTimes(mResult.withFault(mFault));
    }

    /** Reads a response body that is not an event stream. */
    Answer body(final String body, final boolean engine) {
        mFirstNanos = mNanoClock.getAsLong() - mStartNanos;
        final JsonNode node;
        try {
            node = mJson.readTree(body);
        } catch (final JsonProcessingException e) {
            return withTimes(Answer.lost(mStatus, mRequestId, "the body is not JSON"));
        }
        if (mStatus != 200) {
            return withTimes(problem(node));
        }
        if (engine) {
            mTokens = node.path("tokens").asInt();
            mText.append(node.path("text").asText());
            checkRequestId(node);
        } else {
            mText.append(body);
        }
        return withTimes(answered().withFault(mFault));
    }

    private void onEvent(final String event, final JsonNode data) {
        switch (event) {
            case "token" -> onToken(data);
            case "end" -> onEnd(data);
            case "problem" -> mResult = problem(data);
            default -> recordFault("an event of unknown name: " + event);
        }
    }

    private void onToken(final JsonNode data) {
        if (mTokens == 0) {
            mFirstNanos = mNanoClock.getAsLong() - mStartNanos;
        }
        if (data.path("index").asInt(-1) != mTokens) {
            recordFault("token " + data.path("index") + " instead of " + mTokens);
        }
        final String text = data.path("text").asText();
        mTokens++;
        mText.append(text);
        mOnToken.accept(text);
    }

    private void onEnd(final JsonNode data) {
        checkRequestId(data);
        if (data.path("tokens").asInt(-1) != mTokens) {
            recordFault(
                    "the end mark counts " + data.path("tokens") + " tokens instead of " + mTokens);
        }
        if (!data.path("sha256").asText().equals(sha256(mText.toString()))) {
            recordFault("the digest of the end mark differs");
        }
        mResult = answered();
    }

    private void checkRequestId(final JsonNode data) {
        if (!data.path("requestId").asText().equals(mRequestId)) {
            recordFault("the answer is of request " + data.path("requestId").asText());
        }
    }

    private Answer answered() {
        return new Answer(
                200, mRequestId, Answer.RAN, "", "", 0, mText.toString(), mTokens, "", 0, 0);
    }

    private Answer problem(final JsonNode node) {
        return new Answer(
                mStatus == 200 ? node.path("status").asInt() : mStatus,
                node.path("requestId").asText(mRequestId),
                node.path("outcome").asText(Answer.UNKNOWN),
                node.path("type").asText("unknown"),
                node.path("detail").asText(),
                node.path("retryAfterMillis").asLong(),
                mText.toString(),
                mTokens,
                "",
                0,
                0);
    }

    private Answer withTimes(final Answer answer) {
        return answer.withTimes(mFirstNanos, mNanoClock.getAsLong() - mStartNanos);
    }

    private void recordFault(final String description) {
        if (mFault.isEmpty()) {
            mFault = description;
        }
    }

    /** Returns the SHA-256 digest of a text in UTF-8, as hexadecimal digits. */
    static String sha256(final String text) {
        try {
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
