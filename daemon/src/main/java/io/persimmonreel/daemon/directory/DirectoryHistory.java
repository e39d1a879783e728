package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.stream.PastReplica;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the replicas in past changes of the directory, and until when each may have been ready.
 *
 * <p>Changes bear no time. A replica numbers its writes, which it makes at known intervals from its
 * start on, so that each write gives a latest time for itself and for all changes before it.
 */
final class DirectoryHistory {
    /** The time between the start of a replica and its first write, and the error of clocks. */
    private static final long START_SLACK_MILLIS = 2_000;

    /** The longest time between two writes, as a multiple of the interval. */
    private static final double INTERVAL_FACTOR = 1.25;

    private final DirectoryFormat mFormat;
    private final Duration mInterval;

    /**
     * Creates a reader of changes.
     *
     * @param format decodes documents
     * @param interval the time between two writes of a replica
     */
    DirectoryHistory(final DirectoryFormat format, final Duration interval) {
        mFormat = format;
        mInterval = interval;
    }

    /**
     * Returns the replicas in changes.
     *
     * @param changes the changes, the eldest first
     * @param nowMillis the current wall clock time, a latest time for all of them
     */
    List<PastReplica> replicas(final List<Document> changes, final long nowMillis) {
        final long[] latestMillis = latestMillis(changes, nowMillis);
        final Map<String, Listed> listed = new HashMap<>();
        final Set<String> known = new HashSet<>();
        final List<PastReplica> replicas = new ArrayList<>();
        for (int i = 0; i < changes.size(); i++) {
            final Document change = changes.get(i);
            if (!mFormat.isReplica(change.name())) {
                continue;
            }
            final Optional<ReplicaEntry> entry = readable(change);
            final Listed before = listed.get(change.name());
            final boolean isSame =
                    before != null
                            && entry.filter(after -> isSameStart(before.entry(), after))
                                    .isPresent();
            if (before != null && !isSame) {
                replicas.add(before.until(latestMillis[i]));
            } else if (entry.isEmpty() && !known.contains(change.name())) {
                final String id = mFormat.replicaId(change.name());
                replicas.add(
                        new PastReplica(id, Optional.empty(), latestMillis[i], latestMillis[i]));
            }
            entry.ifPresent(after -> known.add(change.name()));
            if (entry.isEmpty()) {
                listed.remove(change.name());
            } else if (!isSame) {
                listed.put(change.name(), new Listed(entry.get(), latestMillis[i]));
            }
            if (entry.isPresent() && entry.get().draining()) {
                replicas.add(listed.remove(change.name()).until(latestMillis[i]));
            }
        }
        listed.values().forEach(replica -> replicas.add(replica.until(nowMillis)));
        return replicas;
    }

    /** Holds an entry and the latest time of its first write among the changes. */
    private record Listed(ReplicaEntry entry, long latestMillis) {
        PastReplica until(final long leftMillis) {
            return new PastReplica(entry.id(), Optional.of(entry), latestMillis, leftMillis);
        }
    }

    private static boolean isSameStart(final ReplicaEntry first, final ReplicaEntry second) {
        return first.startedMillis() == second.startedMillis()
                && first.version().equals(second.version());
    }

    /** Returns the latest time of each change. */
    private long[] latestMillis(final List<Document> changes, final long nowMillis) {
        final long[] latest = new long[changes.size()];
        long next = nowMillis;
        for (int i = changes.size() - 1; i >= 0; i--) {
            next = Math.min(next, latestMillis(changes.get(i), nowMillis));
            latest[i] = next;
        }
        return latest;
    }

    private long latestMillis(final Document change, final long nowMillis) {
        final Optional<ReplicaEntry> entry =
                mFormat.isReplica(change.name()) ? readable(change) : Optional.empty();
        if (entry.isEmpty() || entry.get().startedMillis() <= 0) {
            return nowMillis;
        }
        try {
            final var number = mFormat.writeNumber(change.name(), change.content().orElseThrow());
            return number.isEmpty() || number.getAsLong() < 0
                    ? nowMillis
                    : entry.get().startedMillis()
                            + START_SLACK_MILLIS
                            + (long) (number.getAsLong() * mInterval.toMillis() * INTERVAL_FACTOR);
        } catch (final DirectoryException | RuntimeException e) {
            return nowMillis;
        }
    }

    private Optional<ReplicaEntry> readable(final Document document) {
        try {
            return document.content().isEmpty()
                    ? Optional.empty()
                    : Optional.of(mFormat.readReplica(document.name(), document.content().get()));
        } catch (final DirectoryException | RuntimeException | StackOverflowError e) {
            return Optional.empty();
        }
    }
}
