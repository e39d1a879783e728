package io.persimmonreel.fakes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Caches prompt prefixes and logs its changes; readers of the log see them late and with gaps. */
final class PrefixCache {
    private static final int MAXIMUM_EVENTS = 4_096;

    /**
     * Describes a change of the cache.
     *
     * @param sequence the event's number, from 1; a missing number means a lost event
     * @param kind {@code stored} or {@code evicted}
     * @param prefixHash the hash of the prefix
     * @param tokens the length of the prefix in tokens
     * @param nanos the time of the change
     */
    record Event(long sequence, String kind, String prefixHash, int tokens, long nanos) {}

    private final Map<String, Integer> mTokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private final int mLostEventInterval;
    private long mSequence;
    private int mUsedTokens;

    PrefixCache(final int lostEventInterval) {
        mLostEventInterval = lostEventInterval;
    }

    int usedTokens() {
        return mUsedTokens;
    }

    /** Returns the length in tokens of a cached prefix, 0 if it is absent, and marks it as used. */
    int cachedTokens(final String prefixHash) {
        return mTokensByPrefix.getOrDefault(prefixHash, 0);
    }

    void store(final String prefixHash, final int tokens, final long nanos) {
        if (prefixHash.isEmpty() || tokens <= 0 || mTokensByPrefix.containsKey(prefixHash)) {
            return;
        }
        mTokensByPrefix.put(prefixHash, tokens);
        mUsedTokens += tokens;
        record("stored", prefixHash, tokens, nanos);
    }

    /** Evicts the least recently used prefix; returns false if the cache is empty. */
    boolean evictLeastRecentlyUsed(final long nanos) {
        final Iterator<Map.Entry<String, Integer>> entries = mTokensByPrefix.entrySet().iterator();
        if (!entries.hasNext()) {
            return false;
        }
        final Map.Entry<String, Integer> oldest = entries.next();
        final String prefixHash = oldest.getKey();
        final int tokens = oldest.getValue();
        entries.remove();
        mUsedTokens -= tokens;
        record("evicted", prefixHash, tokens, nanos);
        return true;
    }

    void clear() {
        mTokensByPrefix.clear();
        mEvents.clear();
        mUsedTokens = 0;
    }

    /** Returns the events with a higher number that happened no later than a time. */
    List<Event> events(final long after, final long visibleBeforeNanos) {
        final List<Event> events = new ArrayList<>();
        for (final Event event : mEvents) {
            if (event.sequence() > after && event.nanos() - visibleBeforeNanos <= 0) {
                events.add(event);
            }
        }
        return events;
    }

    private void record(
            final String kind, final String prefixHash, final int tokens, final long nanos) {
        mSequence++;
        if (mLostEventInterval > 0 && mSequence % mLostEventInterval == 0) {
            return;
        }
        mEvents.add(new Event(mSequence, kind, prefixHash, tokens, nanos));
        if (mEvents.size() > MAXIMUM_EVENTS) {
            mEvents.remove();
        }
    }
}
