package io.persimmonreel.core.schedule;

/**
 * Remembers the prompt prefixes that were last sent to a replica and are probably in its cache.
 * Engines evict prefixes without notice, so an entry may be outdated.
 */
final class RecentPrefixes {
    private static final int ENTRIES = 16;

    private final long[] mHashes = new long[ENTRIES];
    private int mNext;

    boolean contains(final long hash) {
        if (hash == 0) {
            return false;
        }
        for (final long held : mHashes) {
            if (held == hash) {
                return true;
            }
        }
        return false;
    }

    void add(final long hash) {
        if (hash != 0 && !contains(hash)) {
            mHashes[mNext] = hash;
            mNext = (mNext + 1) % ENTRIES;
        }
    }

    void clear() {
        java.util.Arrays.fill(mHashes, 0);
    }
}
