package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulates an inference engine: continuous batching without priorities, chunked prefill in the
 * same steps as decoding, and a prefix cache in the KV memory that streams leave free.
 */
final class SimulatedEngine implements SimulatedReplica {
    /** Time of a decode step at speed 1, without streams. */
    static final double STEP_BASE_NANOS = 8e6;

    /** Additional time of a decode step for each decoding stream at speed 1. */
    static final double STEP_NANOS_PER_STREAM = 0.6e6;

    /** Prefill rate at speed 1. */
    static final double PREFILL_TOKENS_PER_SECOND = 5000;

    private static final int PREFILL_CHUNK_WITH_DECODE_TOKENS = 64;
    private static final int PREFILL_CHUNK_ALONE_TOKENS = 512;
    private static final int KV_CAPACITY_TOKENS = 100_000;

    private final EventLoop mLoop;
    private final String mId;
    private final int mSlots;
    private double mSpeedFactor;
    private boolean mUp = true;
    private boolean mStepRunning;

    /** Number of crashes; tells steps that were scheduled before a crash from present ones. */
    private long mCrashCount;

    private int mKvUsedTokens;
    private final List<SimulatedRequest> mBatch = new ArrayList<>();
    private final ArrayDeque<SimulatedRequest> mWaiting = new ArrayDeque<>();
    private final Set<SimulatedRequest> mPaused = new LinkedHashSet<>();
    private final LinkedHashMap<Long, Integer> mCachedPrefixes =
            new LinkedHashMap<>(16, 0.75f, true);
    private int mCachedPrefixTokens;

    SimulatedEngine(final EventLoop loop, final String id, final int slots, final double speed) {
        mLoop = loop;
        mId = id;
        mSlots = slots;
        mSpeedFactor = speed;
    }

    @Override
    public String id() {
        return mId;
    }

    @Override
    public int slots() {
        return mSlots;
    }

    @Override
    public boolean isUp() {
        return mUp;
    }

    @Override
    public int activeRequests() {
        return mBatch.size() + mWaiting.size();
    }

    @Override
    public void scaleSpeed(final double factor) {
        mSpeedFactor *= factor;
    }

    @Override
    public boolean submit(final SimulatedRequest request) {
        if (!mUp) {
            return false;
        }
        request.mReplica = this;
        request.mHeldByReplica = true;
        request.mPrefillTokensLeft = -1;
        mWaiting.add(request);
        admit();
        return true;
    }

    private void admit() {
        while (mBatch.size() < mSlots
                && !mWaiting.isEmpty()
                && (mKvUsedTokens + kvCacheTokens(mWaiting.peek()) <= KV_CAPACITY_TOKENS
                        || mWaiting.peek().mPrefillTokensLeft >= 0)) {
            final SimulatedRequest request = mWaiting.poll();
            if (request.mPrefillTokensLeft < 0) {
                mKvUsedTokens += kvCacheTokens(request);
                request.mPrefillTokensLeft = uncachedPromptTokens(request);
                cachePrefix(request);
            }
            mBatch.add(request);
        }
        startStep();
    }

    private static int kvCacheTokens(final SimulatedRequest request) {
        return request.pending().promptTokens() + request.outputTokens();
    }

    private int uncachedPromptTokens(final SimulatedRequest request) {
        final int prompt = request.pending().promptTokens();
        return Math.max(
                1,
                mCachedPrefixes.containsKey(request.pending().prefixHash())
                        ? prompt - request.pending().prefixTokens()
                        : prompt);
    }

    /**
     * Caches the prefix of a request, then evicts the least recently used prefixes without room.
     */
    private void cachePrefix(final SimulatedRequest request) {
        final long hash = request.pending().prefixHash();
        if (hash != 0 && mCachedPrefixes.put(hash, request.pending().prefixTokens()) == null) {
            mCachedPrefixTokens += request.pending().prefixTokens();
        }
        final Iterator<Map.Entry<Long, Integer>> eldest = mCachedPrefixes.entrySet().iterator();
        while (mCachedPrefixTokens > KV_CAPACITY_TOKENS - mKvUsedTokens && eldest.hasNext()) {
            mCachedPrefixTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private void startStep() {
        if (mStepRunning || mBatch.isEmpty() || !mUp) {
            return;
        }
        int decoding = 0;
        for (final SimulatedRequest request : mBatch) {
            decoding += request.mPrefillTokensLeft == 0 ? 1 : 0;
        }
        final int chunkTokens =
                decoding > 0 ? PREFILL_CHUNK_WITH_DECODE_TOKENS : PREFILL_CHUNK_ALONE_TOKENS;
        int tokensLeft = chunkTokens;
        for (final SimulatedRequest request : mBatch) {
            tokensLeft -= Math.min(tokensLeft, request.mPrefillTokensLeft);
        }
        final double nanos =
                (decoding > 0 ? STEP_BASE_NANOS + STEP_NANOS_PER_STREAM * decoding : 0)
                        + (chunkTokens - tokensLeft) * 1e9 / PREFILL_TOKENS_PER_SECOND;
        mStepRunning = true;
        final long crashCount = mCrashCount;
        final int prefillTokens = chunkTokens - tokensLeft;
        mLoop.scheduleAfter(
                (long) (nanos / mSpeedFactor), () -> endStep(crashCount, prefillTokens));
    }

    private void endStep(final long crashCount, final int prefillTokens) {
        if (crashCount != mCrashCount) {
            return;
        }
        mStepRunning = false;
        int tokensLeft = prefillTokens;
        for (final SimulatedRequest request : List.copyOf(mBatch)) {
            if (request.mReplica != this || !mBatch.contains(request)) {
                continue;
            }
            if (request.mPrefillTokensLeft > 0) {
                final int done = Math.min(tokensLeft, request.mPrefillTokensLeft);
                tokensLeft -= done;
                request.mPrefillTokensLeft -= done;
                request.mPrefillTokensComputed += done;
                if (request.mPrefillTokensLeft > 0) {
                    continue;
                }
            }
            generateToken(request);
        }
        admit();
    }

    private void generateToken(final SimulatedRequest request) {
        request.mGeneratedTokens++;
        if (request.mGeneratedTokens == 1) {
            request.mFirstTokenNanos = mLoop.nowNanos();
        }
        request.mListener.onToken(request);
        if (request.mGeneratedTokens >= request.outputTokens() && mBatch.remove(request)) {
            mKvUsedTokens -= kvCacheTokens(request);
            request.mHeldByReplica = false;
            request.mListener.onCompleted(request);
        }
    }

    @Override
    public void cancel(final SimulatedRequest request) {
        final boolean hadKvCache = mBatch.remove(request) | mPaused.remove(request);
        final boolean wasWaiting = mWaiting.remove(request);
        if (hadKvCache || (wasWaiting && request.mPrefillTokensLeft >= 0)) {
            mKvUsedTokens -= kvCacheTokens(request);
        }
        request.mHeldByReplica = false;
        admit();
    }

    @Override
    public void pause(final SimulatedRequest request) {
        if (mBatch.remove(request) || mWaiting.remove(request)) {
            mPaused.add(request);
            admit();
        }
    }

    @Override
    public boolean resume(final SimulatedRequest request) {
        if (!mUp || !mPaused.remove(request)) {
            return false;
        }
        mWaiting.add(request);
        admit();
        return true;
    }

    @Override
    public void resumeImported(final SimulatedRequest request) {
        request.mReplica = this;
        request.mHeldByReplica = true;
        mKvUsedTokens += kvCacheTokens(request);
        mWaiting.add(request);
        admit();
    }

    @Override
    public void crash() {
        mUp = false;
        mCrashCount++;
        mStepRunning = false;
        final List<SimulatedRequest> broken = new ArrayList<>(mBatch);
        broken.addAll(mWaiting);
        mBatch.clear();
        mWaiting.clear();
        mPaused.clear();
        mCachedPrefixes.clear();
        mCachedPrefixTokens = 0;
        mKvUsedTokens = 0;
        for (final SimulatedRequest request : broken) {
            request.mHeldByReplica = false;
            request.mListener.onBroken(request);
        }
    }

    @Override
    public void restart() {
        mUp = true;
    }

    private int prefillBacklogTokens() {
        int tokens = 0;
        for (final SimulatedRequest request : mBatch) {
            tokens += request.mPrefillTokensLeft;
        }
        for (final SimulatedRequest request : mWaiting) {
            tokens += request.mPrefillTokensLeft < 0 ? request.pending().promptTokens() : 0;
        }
        return tokens;
    }

    @Override
    public LoadReport report(final long ageMillis) {
        return new LoadReport(
                mId,
                mBatch.size(),
                mWaiting.size(),
                prefillBacklogTokens(),
                mKvUsedTokens,
                KV_CAPACITY_TOKENS,
                ageMillis);
    }

    @Override
    public double trueCompletionNanos(final SimulatedRequest request) {
        final int streams = Math.min(mSlots, activeRequests() + 1);
        final double prefillSeconds =
                (prefillBacklogTokens() + uncachedPromptTokens(request))
                        / PREFILL_TOKENS_PER_SECOND;
        final double stepNanos = STEP_BASE_NANOS + STEP_NANOS_PER_STREAM * streams;
        final int outputLeft = request.outputTokens() - request.mGeneratedTokens;
        return (prefillSeconds * 1e9 + outputLeft * stepNanos) / mSpeedFactor;
    }
}
