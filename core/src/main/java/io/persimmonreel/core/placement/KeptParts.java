package io.persimmonreel.core.placement;

import io.persimmonreel.core.replica.Replica;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers on which replicas the parts of prompts were read, from this daemon's own requests.
 *
 * <p>A replica may have dropped a part since. Not thread safe.
 */
public final class KeptParts {
    /** Bounds the memory to about 2 MB. */
    private static final int MAXIMUM_ENTRIES = 16_384;

    private final Map<Key, Long> mUsed =
            new LinkedHashMap<>(256, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<Key, Long> eldest) {
                    return size() > MAXIMUM_ENTRIES;
                }
            };

    /**
     * Notes that a replica read a prompt.
     *
     * @param work the request's work
     * @param replica the replica
     * @param nowNanos the present monotonic time in nanoseconds
     */
    public void onRead(final WorkSize work, final Replica replica, final long nowNanos) {
        for (final WorkSize.PromptPart part : work.parts()) {
            mUsed.put(new Key(part.hash(), replica.idHash()), nowNanos);
        }
    }

    /**
     * Estimates the prompt tokens that a replica holds.
     *
     * @param work the request's work
     * @param replica the replica
     * @return tokens of the leading parts that were read there
     */
    public int tokens(final WorkSize work, final Replica replica) {
        int tokens = 0;
        for (final WorkSize.PromptPart part : work.parts()) {
            if (!mUsed.containsKey(new Key(part.hash(), replica.idHash()))) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    private record Key(long part, long replica) {}
}
