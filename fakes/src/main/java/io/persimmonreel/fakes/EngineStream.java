package io.persimmonreel.fakes;

/** Holds the state of one stream in an engine. Guarded by the lock of {@link EngineSimulation}. */
final class EngineStream {
    /** States of a stream; a paused stream keeps its KV cache. */
    enum State {
        WAITING,
        PREFILL,
        DECODE,
        PAUSED,
        DONE
    }

    /**
     * Describes what a caller asked a stream to generate.
     *
     * @param id the stream's id
     * @param prompt the prompt
     * @param promptTokens the length of the prompt in tokens, at least 1
     * @param prefixKey the hash of the prompt prefix that the cache can hold, empty if there is
     *     none
     * @param prefixTokens the length of that prefix in tokens
     * @param maxOutputTokens the maximum number of tokens to generate
     */
    record Work(
            String id,
            String prompt,
            int promptTokens,
            String prefixKey,
            int prefixTokens,
            int maxOutputTokens) {}

    final Work mWork;
    final long mPromptHash;

    /** Number of tokens that the whole stream has. */
    final int mOutputTokens;

    State mState = State.WAITING;

    /** The reader's sink, null if nobody reads the stream. */
    TokenSink mSink;

    /** Downtime of the crash that the prompt causes, -1 if it causes none. */
    long mCrashDowntimeMillis = -1;

    double mPrefillTokensLeft;
    double mPrefillTokensDone;

    /** Number of tokens that are due but not generated yet, usually a fraction. */
    double mTokensDue;

    int mGenerated;
    boolean mKvReserved;
    boolean mExported;

    EngineStream(final Work work, final TokenSink sink) {
        mWork = work;
        mSink = sink;
        mPromptHash = GeneratedText.hash(work.prompt());
        mOutputTokens = GeneratedText.tokenCount(work.prompt(), work.maxOutputTokens());
        mPrefillTokensLeft = work.promptTokens();
    }

    /** Returns the size in tokens of the KV cache at the end of the stream. */
    int kvTokens() {
        return mWork.promptTokens() + mOutputTokens;
    }

    /** Generates the next token and sends it to the reader, if there is one. */
    void generateToken() {
        final int index = mGenerated;
        mGenerated++;
        if (mSink != null) {
            mSink.token(index, GeneratedText.token(mPromptHash, index));
        }
    }

    /** Sends again the tokens generated so far, from an index on. */
    void replay(final int from) {
        for (int i = from; i < mGenerated; i++) {
            mSink.token(i, GeneratedText.token(mPromptHash, i));
        }
    }

    /** Closes the reader's sink without an end event. */
    void closeSink() {
        final TokenSink sink = mSink;
        mSink = null;
        if (sink != null) {
            sink.close();
        }
    }
}
