package io.persimmonreel.core.placement;

import io.persimmonreel.core.replica.Replica;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt parts each replica has in its prompt cache, from the requests that this
 * daemon sent.
 *
 * <p>The estimate can be too high, since a replica may have evicted a part. Not thread safe.
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

    /**
     * Records that a replica processed a prompt.
     *
     * @param work the size of the request
     * @param replica the replica
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onPrefill(final WorkSize work, final Replica replica, final long nowNanos) {
        for (final WorkSize.PromptPart part : work.parts()) {
            mLastUsedNanos.put(new Key(part.hash(), replica.idHash()), nowNanos);
        }
    }

    /**
     * Estimates how many prompt tokens of a request a replica has cached.
     *
     * @param work the size of the request
     * @param replica the replica
     * @return the tokens of the leading parts that the replica processed before
     */
    public int cachedTokens(final WorkSize work, final Replica replica) {
        int tokens = 0;
        for (final WorkSize.PromptPart part : work.parts()) {
            if (!mLastUsedNanos.containsKey(new Key(part.hash(), replica.idHash()))) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    private record Key(long partHash, long replicaHash) {}
}
