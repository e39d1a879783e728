package io.persimmonreel.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt parts one start of a replica still holds, bounded by its memory and by
 * time. The least recently used parts are evicted first. Not thread safe.
 */
final class PromptMemory {
    /**
     * Time without use after which a part counts as evicted. At the load in hard-load.md, an engine
     * reads as many prompt tokens as it has memory for in 24 s (18,400 to 20,400 tokens per second
     * for 443,694 to 500,816 tokens).
     */
    private static final long LIFETIME_NANOS = 25_000_000_000L;

    private final Map<Long, HeldPart> mParts = new LinkedHashMap<>();
    private long mTokens;
    private long mUsedNanos;

    /**
     * Records that the replica processed a prompt.
     *
     * @param work the size of the request
     * @param capacityTokens the tokens that the replica holds
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void onPrefill(final WorkSize work, final long capacityTokens, final long nowNanos) {
        mUsedNanos = nowNanos;
        // A part is of no use without those before it, so the last part is evicted first.
        for (int i = work.parts().size() - 1; i >= 0; i--) {
            final WorkSize.PromptPart part = work.parts().get(i);
            // Removing a part first moves it to the end of the order of eviction.
            final HeldPart before = mParts.remove(part.hash());
            mParts.put(part.hash(), new HeldPart(part.tokens(), nowNanos));
            mTokens += part.tokens() - (before == null ? 0 : before.tokens());
        }
        final Iterator<HeldPart> eldest = mParts.values().iterator();
        while (eldest.hasNext()) {
            final HeldPart part = eldest.next();
            if (mTokens <= capacityTokens && !part.isExpired(nowNanos)) {
                break;
            }
            eldest.remove();
            mTokens -= part.tokens();
        }
    }

    /**
     * Estimates how many prompt tokens of a request the replica holds.
     *
     * @param work the size of the request
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the tokens of the leading parts
     */
    int heldTokens(final WorkSize work, final long nowNanos) {
        int tokens = 0;
        for (final WorkSize.PromptPart part : work.parts()) {
            final HeldPart held = mParts.get(part.hash());
            if (held == null || held.isExpired(nowNanos)) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Returns whether nothing is held any more.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if the replica processed no prompt within the lifetime of a part
     */
    boolean isExpired(final long nowNanos) {
        return nowNanos - mUsedNanos > LIFETIME_NANOS;
    }

    private record HeldPart(int tokens, long usedNanos) {
        boolean isExpired(final long nowNanos) {
            return nowNanos - usedNanos > LIFETIME_NANOS;
        }
    }
}
