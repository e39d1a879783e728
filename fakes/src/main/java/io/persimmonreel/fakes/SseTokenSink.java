package io.persimmonreel.fakes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.fakes.Fault.Kind;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends the tokens of a stream as server-sent events and injects the faults of one response. */
final class SseTokenSink implements TokenSink {
    private static final String FOREIGN_STREAM_ID = "stream-of-another-request";

    private final String mStreamId;
    private final ObjectMapper mJson;
    private final SsePublisher mPublisher;
    private final Runnable mDisconnect;
    private final Optional<Fault> mBreakFault;
    private final Optional<Fault> mForeignTokenFault;
    private final Optional<Fault> mDuplicateTokenFault;
    private final boolean mOmitsEnd;
    private int mSentTokens;
    private boolean mDisconnected;

    /**
     * Creates a sink and consumes the faults that it injects.
     *
     * @param streamId the stream's id
     * @param json the mapper for events
     * @param faults the plan to consume faults from
     * @param disconnect closes the connection
     * @param onReaderLost called with this sink when the reader disconnects
     */
    SseTokenSink(
            final String streamId,
            final ObjectMapper json,
            final FaultPlan faults,
            final Runnable disconnect,
            final Consumer<TokenSink> onReaderLost) {
        mStreamId = streamId;
        mJson = json;
        mPublisher = new SsePublisher(() -> onReaderLost.accept(this));
        mDisconnect = disconnect;
        mBreakFault = faults.consume(Kind.BREAK_STREAM);
        mForeignTokenFault = faults.consume(Kind.FOREIGN_TOKEN);
        mDuplicateTokenFault = faults.consume(Kind.DUPLICATE_TOKEN);
        mOmitsEnd = faults.consume(Kind.NO_END).isPresent();
    }

    SsePublisher publisher() {
        return mPublisher;
    }

    @Override
    public void token(final int index, final String text) {
        if (mDisconnected) {
            return;
        }
        if (isNext(mBreakFault)) {
            mDisconnected = true;
            mPublisher.whenDrained(mDisconnect);
            return;
        }
        if (isNext(mForeignTokenFault)) {
            write(
                    FOREIGN_STREAM_ID,
                    index,
                    GeneratedText.token(GeneratedText.hash(FOREIGN_STREAM_ID), index));
        }
        write(mStreamId, index, text);
        if (isNext(mDuplicateTokenFault)) {
            write(mStreamId, index, text);
        }
        mSentTokens++;
    }

    @Override
    public void end(final int tokens) {
        if (mDisconnected) {
            return;
        }
        if (!mOmitsEnd) {
            final Map<String, Object> event = new LinkedHashMap<>();
            event.put("streamId", mStreamId);
            event.put("tokens", tokens);
            mPublisher.publish("end", json(event));
        }
        mPublisher.complete();
    }

    @Override
    public void close() {
        if (!mDisconnected) {
            mPublisher.complete();
        }
    }

    @Override
    public void abort() {
        mDisconnected = true;
        mDisconnect.run();
    }

    /** Returns whether a fault is to be injected at the next token. */
    private boolean isNext(final Optional<Fault> fault) {
        return fault.isPresent() && fault.get().after() == mSentTokens;
    }

    private void write(final String streamId, final int index, final String text) {
        final Map<String, Object> token = new LinkedHashMap<>();
        token.put("streamId", streamId);
        token.put("index", index);
        token.put("text", text);
        mPublisher.publish("token", json(token));
    }

    private String json(final Map<String, Object> value) {
        try {
            return mJson.writeValueAsString(value);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
