package io.persimmonreel.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.request.Step;

/**
 * Validates that the events of a stream are the complete response to one request: every event has
 * the stream's id, the token indexes have no gaps or repeats, the end event states the number of
 * tokens received, and there are no more tokens than requested.
 */
final class StreamValidator implements ServerSentEventParser.Handler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String mReplicaId;
    private final String mStreamId;
    private final StreamListener mListener;
    private final int mMaximumTokens;
    private int mNextIndex;
    private boolean mEnded;

    StreamValidator(
            final String replicaId,
            final String streamId,
            final int nextIndex,
            final int maximumTokens,
            final StreamListener listener) {
        mReplicaId = replicaId;
        mStreamId = streamId;
        mNextIndex = nextIndex;
        mMaximumTokens = maximumTokens;
        mListener = listener;
    }

    boolean isEnded() {
        return mEnded;
    }

    int nextIndex() {
        return mNextIndex;
    }

    @Override
    public void onEvent(final String name, final String data) throws UpstreamException {
        if (mEnded) {
            throw invalidResponse("an event follows the end mark");
        }
        final JsonNode event = parse(data);
        if (!mStreamId.equals(event.path("streamId").asText())) {
            throw invalidResponse("an event of another stream");
        }
        if ("token".equals(name)) {
            onToken(event);
        } else if ("end".equals(name)) {
            onEnd(event);
        }
    }

    private void onToken(final JsonNode event) throws UpstreamException {
        final int index = event.path("index").asInt(-1);
        if (index != mNextIndex) {
            throw invalidResponse("token " + index + " in place of token " + mNextIndex);
        }
        if (index >= mMaximumTokens) {
            throw invalidResponse("more than " + mMaximumTokens + " tokens");
        }
        if (!event.path("text").isTextual()) {
            throw invalidResponse("token " + index + " has no text");
        }
        mNextIndex++;
        mListener.onToken(index, event.get("text").textValue());
    }

    private void onEnd(final JsonNode event) throws UpstreamException {
        final int tokens = event.path("tokens").asInt(-1);
        if (tokens != mNextIndex) {
            throw invalidResponse(
                    "the end mark counts " + tokens + " tokens, received " + mNextIndex);
        }
        mEnded = true;
        mListener.onEnd(tokens);
    }

    private JsonNode parse(final String data) throws UpstreamException {
        try {
            return MAPPER.readTree(data);
        } catch (final JsonProcessingException e) {
            throw invalidResponse("a malformed event");
        }
    }

    private UpstreamException invalidResponse(final String message) {
        return new UpstreamException(
                Step.STREAM, mReplicaId, UpstreamFault.INVALID_RESPONSE, message);
    }
}
