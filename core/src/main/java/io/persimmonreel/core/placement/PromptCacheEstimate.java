package io.persimmonreel.core.placement;

import io.persimmonreel.core.replica.Replica;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Estimates which prompt parts each replica has in its prompt cache, from the requests that this
 * daemon sent.
 *
 * <p>Where the memory of the engines is known, the estimate is bounded by it, ends with a restart
 * and with time, and the hit ratio is measured. Elsewhere it can be too high, since a replica may
 * have evicted a part. Not thread safe.
 */
public final class PromptCacheEstimate {
    /** Limits the memory to about 2 MB; the least recently used entry is evicted. */
    private static final int MAXIMUM_ENTRIES = 16_384;

    private final Map<Key, Long> mLastUsedNanos =
            new LinkedHashMap<>(256, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<Key, Long> eldest) {
                    return size() > MAXIMUM_ENTRIES;
                }
            };

    private final ToLongFunction<String> mMemoryTokens;
    private final Map<String, PromptHitRatios> mRatios = new HashMap<>();

    /** A restart creates a new replica, whose memory is empty. */
    private final Map<Replica, PromptMemory> mMemories = new IdentityHashMap<>();

    /** Creates an estimate for engines whose memory is unknown. */
    public PromptCacheEstimate() {
        this(upstream -> 0);
    }

    /**
     * Creates an estimate.
     *
     * @param memoryTokens returns the tokens that each engine of an upstream holds, 0 if unknown
     */
    public PromptCacheEstimate(final ToLongFunction<String> memoryTokens) {
        mMemoryTokens = memoryTokens;
    }

    /**
     * Records that a replica processed a prompt.
     *
     * @param work the size of the request
     * @param replica the replica
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onPrefill(final WorkSize work, final Replica replica, final long nowNanos) {
        final long memoryTokens = mMemoryTokens.applyAsLong(replica.entry().upstream());
        if (memoryTokens > 0) {
            memory(replica, nowNanos).onPrefill(work, memoryTokens, nowNanos);
            return;
        }
        mMemories.remove(replica);
        for (final WorkSize.PromptPart part : work.parts()) {
            mLastUsedNanos.put(new Key(part.hash(), replica.idHash()), nowNanos);
        }
    }

    private PromptMemory memory(final Replica replica, final long nowNanos) {
        final PromptMemory known = mMemories.get(replica);
        if (known != null) {
            return known;
        }
        // Frees the memories of replicas that have ended.
        mMemories.values().removeIf(memory -> memory.isExpired(nowNanos));
        final PromptMemory memory = new PromptMemory();
        mMemories.put(replica, memory);
        return memory;
    }

    /**
     * Estimates how many prompt tokens of a request a replica has cached.
     *
     * @param work the size of the request
     * @param replica the replica
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the tokens of the leading parts that the replica processed before
     */
    public int cachedTokens(final WorkSize work, final Replica replica, final long nowNanos) {
        final PromptMemory memory = mMemories.get(replica);
        if (memory != null) {
            return memory.heldTokens(work, nowNanos);
        }
        int tokens = 0;
        for (final WorkSize.PromptPart part : work.parts()) {
            if (!mLastUsedNanos.containsKey(new Key(part.hash(), replica.idHash()))) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Returns the hit ratios of an upstream.
     *
     * @param upstream the upstream's name
     * @return the measured ratios, empty if the memory of its engines is unknown
     */
    Optional<PromptHitRatios> measuredRatios(final String upstream) {
        return mMemoryTokens.applyAsLong(upstream) > 0
                ? Optional.of(mRatios.computeIfAbsent(upstream, name -> new PromptHitRatios()))
                : Optional.empty();
    }

    /**
     * Measures the hit ratio from the first event of a request.
     *
     * @param choice the choice by which the request was sent
     * @param firstMillis the time from sending the request to the first event in milliseconds
     */
    public void onFirstEvent(final Placement.Choice choice, final double firstMillis) {
        if (choice.waitMillis() <= 0) {
            measuredRatios(choice.replica().entry().upstream())
                    .ifPresent(ratios -> ratios.onFirstEvent(choice.cached(), firstMillis));
        }
    }

    private record Key(long partHash, long replicaHash) {}
}
