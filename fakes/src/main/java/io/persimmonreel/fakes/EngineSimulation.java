package io.persimmonreel.fakes;

import io.persimmonreel.fakes.EngineStream.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Simulates continuous batching in an engine, one time step after the other. Streams join the batch
 * as slots and memory allow; all prompts share one prefill rate and are processed in order of
 * arrival; decoding slows down as the batch grows. Instances are thread-safe.
 */
final class EngineSimulation {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Maximum time simulated in one step; avoids a burst of tokens after the machine stalled. */
    private static final long MAXIMUM_STEP_NANOS = 100_000_000;

    /** Relative increase of the time per token for each further stream in the batch. */
    private static final double BATCH_SLOWDOWN = 0.03;

    /** Share of the decode speed that remains in a step that also processes prompts. */
    private static final double DECODE_SHARE_IN_PREFILL = 0.6;

    /** Finished streams kept so that a caller whose connection broke can read them again. */
    private static final int MAXIMUM_FINISHED_STREAMS = 4_096;

    private final EngineSettings mSettings;
    private final LongConsumer mOnCrash;
    private final Map<String, EngineStream> mStreams = new LinkedHashMap<>();
    private final Map<String, EngineStream> mFinishedStreams = new LinkedHashMap<>();
    private final Map<String, Integer> mRunsByStreamId = new HashMap<>();
    private final PrefixCache mCache;
    private long mLastStepNanos;
    private int mReservedTokens;
    private double mPrefillTokensDone;
    private double mPrefillTokensRestarted;
    private double mPrefillTokensDiscarded;

    /**
     * Creates a simulation without streams.
     *
     * @param settings the engine's settings
     * @param onCrash called with the downtime in milliseconds when a prompt crashes the engine
     * @param nowNanos the current time
     */
    EngineSimulation(
            final EngineSettings settings, final LongConsumer onCrash, final long nowNanos) {
        mSettings = settings;
        mOnCrash = onCrash;
        mCache = new PrefixCache(settings.lostEventInterval());
        mLastStepNanos = nowNanos;
    }

    /** Counts a run of a stream, also of one that is never simulated because its request hangs. */
    synchronized void countRun(final String id) {
        mRunsByStreamId.merge(id, 1, Integer::sum);
    }

    /** Starts a stream and discards any earlier stream with the same id. */
    synchronized void start(final EngineStream stream) {
        countRun(stream.mWork.id());
        discard(stream.mWork.id());
        mStreams.put(stream.mWork.id(), stream);
    }

    /**
     * Sends a stream's tokens from an index on to a new sink and continues a paused stream.
     *
     * @return false if the stream is unknown or has not generated the tokens before the index
     */
    synchronized boolean resume(final String id, final int from, final TokenSink sink) {
        final EngineStream stream = find(id);
        if (stream == null || from < 0 || from > stream.mGenerated) {
            return false;
        }
        stream.closeSink();
        stream.mSink = sink;
        stream.replay(from);
        if (stream.mState == State.DONE) {
            sink.end(stream.mOutputTokens);
            stream.mSink = null;
        } else if (stream.mState == State.PAUSED) {
            stream.mState = State.WAITING;
            stream.mExported = false;
        }
        return true;
    }

    /**
     * Pauses a stream and keeps its KV cache.
     *
     * @return the number of tokens generated so far, or empty if the stream is unknown
     */
    synchronized Optional<Integer> pause(final String id) {
        final EngineStream stream = find(id);
        if (stream == null) {
            return Optional.empty();
        }
        if (stream.mState != State.DONE) {
            stream.mState = State.PAUSED;
        }
        stream.closeSink();
        return Optional.of(stream.mGenerated);
    }

    /** Pauses a stream whose reader disconnected, unless another reader has resumed it since. */
    synchronized void readerLost(final String id, final TokenSink sink) {
        final EngineStream stream = mStreams.get(id);
        if (stream != null && stream.mSink == sink) {
            stream.mSink = null;
            stream.mState = State.PAUSED;
        }
    }

    /** Discards a stream and its KV cache; returns false if the stream is unknown. */
    synchronized boolean discard(final String id) {
        if (mFinishedStreams.remove(id) != null) {
            return true;
        }
        final EngineStream stream = mStreams.remove(id);
        if (stream == null) {
            return false;
        }
        // An exported prefill is not lost here; the importing engine counts it when it discards it.
        mPrefillTokensDiscarded += stream.mExported ? 0 : stream.mPrefillTokensDone;
        releaseKv(stream);
        stream.closeSink();
        return true;
    }

    /** Exports a stream; returns empty if it is unknown or its prefill is not complete. */
    synchronized Optional<KvState> export(final String id) {
        final EngineStream stream = find(id);
        if (stream == null || stream.mPrefillTokensLeft > 0) {
            return Optional.empty();
        }
        stream.mExported = true;
        return Optional.of(new KvState(stream.mWork, stream.mGenerated, stream.mPrefillTokensDone));
    }

    /** Imports a stream as paused; returns false if there is too little memory. */
    synchronized boolean importState(final KvState state, final long nowNanos) {
        final EngineStream stream = new EngineStream(state.work(), null);
        discard(stream.mWork.id());
        if (!reserveKv(stream, nowNanos)) {
            return false;
        }
        stream.mPrefillTokensLeft = 0;
        stream.mPrefillTokensDone = state.prefillTokens();
        stream.mGenerated = Math.min(state.produced(), stream.mOutputTokens);
        stream.mState = State.PAUSED;
        mStreams.put(stream.mWork.id(), stream);
        return true;
    }

    /** Aborts and discards all streams and clears the prefix cache. */
    synchronized void crash() {
        for (final EngineStream stream : List.copyOf(mStreams.values())) {
            if (stream.mSink != null) {
                stream.mSink.abort();
                stream.mSink = null;
            }
            discard(stream.mWork.id());
        }
        mFinishedStreams.clear();
        mCache.clear();
        mReservedTokens = 0;
    }

    /**
     * Simulates the time since the last step.
     *
     * @param nowNanos the current time
     * @param slowdownFactor how many times slower than its settings the engine runs; 0 means that
     *     it does no work
     */
    synchronized void step(final long nowNanos, final double slowdownFactor) {
        final long elapsed = Math.min(nowNanos - mLastStepNanos, MAXIMUM_STEP_NANOS);
        mLastStepNanos = nowNanos;
        if (slowdownFactor <= 0) {
            return;
        }
        final double seconds = elapsed / NANOS_PER_SECOND / slowdownFactor;
        admit(nowNanos);
        final boolean prefilled = prefill(seconds, nowNanos);
        decode(seconds, prefilled);
    }

    synchronized EngineLoad load() {
        int running = 0;
        int waiting = 0;
        double backlog = 0;
        for (final EngineStream stream : mStreams.values()) {
            final State state = stream.mState;
            running += state == State.PREFILL || state == State.DECODE ? 1 : 0;
            waiting += state == State.WAITING ? 1 : 0;
            backlog +=
                    state == State.PREFILL || state == State.WAITING
                            ? stream.mPrefillTokensLeft
                            : 0;
        }
        return new EngineLoad(running, waiting, (int) backlog, usedTokens());
    }

    synchronized List<PrefixCache.Event> events(final long after, final long visibleBeforeNanos) {
        return mCache.events(after, visibleBeforeNanos);
    }

    synchronized EngineStats stats(final int modelLoads, final int ordersRefused) {
        return new EngineStats(
                mRunsByStreamId,
                Math.round(mPrefillTokensDone),
                Math.round(mPrefillTokensRestarted),
                Math.round(mPrefillTokensDiscarded),
                modelLoads,
                ordersRefused);
    }

    private int usedTokens() {
        return mReservedTokens + mCache.usedTokens();
    }

    /** Moves waiting streams into the batch, in order of arrival. */
    private void admit(final long nowNanos) {
        int running = load().running();
        for (final EngineStream stream : List.copyOf(mStreams.values())) {
            if (running >= mSettings.concurrency()) {
                return;
            }
            if (stream.mState != State.WAITING) {
                continue;
            }
            if (!stream.mKvReserved && !reserveKv(stream, nowNanos)) {
                return;
            }
            running++;
            if (stream.mPrefillTokensLeft > 0 && stream.mPrefillTokensDone == 0) {
                final int hit = mCache.cachedTokens(stream.mWork.prefixKey());
                stream.mPrefillTokensLeft = Math.max(1, stream.mWork.promptTokens() - hit);
            }
            stream.mState = stream.mPrefillTokensLeft > 0 ? State.PREFILL : State.DECODE;
        }
    }

    /** Processes prompts; returns whether there were any. */
    private boolean prefill(final double seconds, final long nowNanos) {
        double budget = seconds * mSettings.speed().prefillTokensPerSecond();
        boolean prefilled = false;
        for (final EngineStream stream : List.copyOf(mStreams.values())) {
            if (stream.mState != State.PREFILL || budget <= 0) {
                continue;
            }
            prefilled = true;
            final double done = Math.min(budget, stream.mPrefillTokensLeft);
            budget -= done;
            stream.mPrefillTokensLeft -= done;
            stream.mPrefillTokensDone += done;
            mPrefillTokensDone += done;
            if (mRunsByStreamId.getOrDefault(stream.mWork.id(), 0) > 1) {
                mPrefillTokensRestarted += done;
            }
            if (stream.mPrefillTokensLeft <= 0) {
                completePrefill(stream, nowNanos);
            }
        }
        return prefilled;
    }

    private void completePrefill(final EngineStream stream, final long nowNanos) {
        if (stream.mCrashDowntimeMillis >= 0) {
            mOnCrash.accept(stream.mCrashDowntimeMillis);
            stream.mState = State.PAUSED;
            return;
        }
        stream.mState = State.DECODE;
        final EngineStream.Work work = stream.mWork;
        if (mCache.cachedTokens(work.prefixKey()) == 0
                && evictUntilFree(
                        Math.min(work.prefixTokens(), work.promptTokens()), nowNanos, stream)) {
            mCache.store(work.prefixKey(), work.prefixTokens(), nowNanos);
        }
        advance(stream, 1);
    }

    private void decode(final double seconds, final boolean prefilled) {
        final List<EngineStream> batch = new ArrayList<>();
        for (final EngineStream stream : mStreams.values()) {
            if (stream.mState == State.DECODE) {
                batch.add(stream);
            }
        }
        final double singleStreamRate = mSettings.speed().decodeTokensPerSecond();
        final double slowdown = 1 + BATCH_SLOWDOWN * Math.max(0, batch.size() - 1);
        final double rate = singleStreamRate / slowdown * (prefilled ? DECODE_SHARE_IN_PREFILL : 1);
        for (final EngineStream stream : batch) {
            advance(stream, rate * seconds);
        }
    }

    /** Adds a possibly fractional number of tokens to a stream and generates the whole ones. */
    private void advance(final EngineStream stream, final double tokens) {
        stream.mTokensDue += tokens;
        while (stream.mTokensDue >= 1
                && stream.mGenerated < stream.mOutputTokens
                && stream.mState == State.DECODE) {
            stream.mTokensDue -= 1;
            stream.generateToken();
        }
        if (stream.mState == State.DECODE && stream.mGenerated >= stream.mOutputTokens) {
            finish(stream);
        }
    }

    private void finish(final EngineStream stream) {
        stream.mState = State.DONE;
        releaseKv(stream);
        if (stream.mSink != null) {
            stream.mSink.end(stream.mOutputTokens);
            stream.mSink = null;
        }
        mStreams.remove(stream.mWork.id());
        mFinishedStreams.put(stream.mWork.id(), stream);
        if (mFinishedStreams.size() > MAXIMUM_FINISHED_STREAMS) {
            mFinishedStreams.remove(mFinishedStreams.keySet().iterator().next());
        }
    }

    private EngineStream find(final String id) {
        final EngineStream stream = mStreams.get(id);
        return stream == null ? mFinishedStreams.get(id) : stream;
    }

    /** Reserves memory for a stream's whole KV cache; returns false if there is too little. */
    private boolean reserveKv(final EngineStream stream, final long nowNanos) {
        if (!evictUntilFree(stream.kvTokens(), nowNanos, stream)) {
            return false;
        }
        stream.mKvReserved = true;
        mReservedTokens += stream.kvTokens();
        return true;
    }

    /**
     * Evicts cached prefixes, then the oldest paused streams, until a number of tokens is free.
     *
     * @return false if there is nothing left to evict
     */
    private boolean evictUntilFree(
            final int tokens, final long nowNanos, final EngineStream exempt) {
        while (usedTokens() + tokens > mSettings.kvCapacityTokens()) {
            if (mCache.evictLeastRecentlyUsed(nowNanos)) {
                continue;
            }
            final Optional<EngineStream> oldest =
                    mStreams.values().stream()
                            .filter(s -> s.mState == State.PAUSED && s.mKvReserved)
                            .filter(s -> s != exempt)
                            .findFirst();
            if (oldest.isEmpty()) {
                return false;
            }
            discard(oldest.get().mWork.id());
        }
        return true;
    }

    private void releaseKv(final EngineStream stream) {
        if (stream.mKvReserved) {
            stream.mKvReserved = false;
            mReservedTokens -= stream.kvTokens();
        }
    }
}
