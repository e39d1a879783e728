package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which entries of replicas are in force after the directory was restored from an older
 * copy.
 *
 * <p>An entry of the copy may be older than the last known write of its replica. The known entry
 * then stays in force, or the entry counts as draining if it was removed before the restore. Such
 * an entry is held until the replica has written again, that is, until the directory has a later
 * write or, within the era, any other content. Not thread-safe.
 */
final class RestoredReplicas {
    /**
     * The maximum number of removed entries that are remembered. The copy is some seconds old, and
     * no deployment loses that many replicas in this time.
     */
    private static final int MAXIMUM_WITHDRAWN = 1_024;

    private final DirectoryFormat mFormat;

    /** The last known contents of the held entries. */
    private final Map<String, byte[]> mHeld = new HashMap<>();

    /** The last known contents of entries that must not be used before a later write. */
    private final Map<String, byte[]> mWithdrawn =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<String, byte[]> eldest) {
                    return size() > MAXIMUM_WITHDRAWN;
                }
            };

    /**
     * Holds an entry and the content from which it was decoded.
     *
     * @param entry the entry
     * @param content the content
     */
    record Decoded(ReplicaEntry entry, byte[] content) {}

    RestoredReplicas(final DirectoryFormat format) {
        mFormat = format;
    }

    /** Returns whether an entry is held until its replica has written again. */
    boolean isHeld(final String name) {
        return mHeld.containsKey(name);
    }

    /** Returns the names of the held entries. */
    List<String> held() {
        return List.copyOf(mHeld.keySet());
    }

    /**
     * Notes that a replica has written its entry in the current era.
     *
     * @param name the document's name
     * @return whether the entry was held
     */
    boolean onWritten(final String name) {
        mWithdrawn.remove(name);
        return mHeld.remove(name) != null;
    }

    /**
     * Notes that an entry is no longer in force.
     *
     * @param name the document's name
     * @param content its content in the directory
     */
    void onRemoved(final String name, final byte[] content) {
        final byte[] held = mHeld.remove(name);
        mWithdrawn.putIfAbsent(name, held == null ? content : held);
    }

    /**
     * Decides which entry of a replica is in force at the begin of an era.
     *
     * @param name the document's name
     * @param known the entry in force and its content in the directory before, null if none
     * @param restored the entry in the new era
     * @param unconfirmed whether a peer holds the entry
     * @return the entry in force
     */
    ReplicaEntry restore(
            final String name,
            final Decoded known,
            final Decoded restored,
            final boolean unconfirmed) {
        final byte[] withdrawn = mWithdrawn.get(name);
        final byte[] last = known == null ? null : mHeld.getOrDefault(name, known.content());
        if (withdrawn != null) {
            if (compare(name, restored.content(), withdrawn) <= 0) {
                mHeld.put(name, withdrawn);
                return restored.entry().asDraining();
            }
        } else if (last != null && !Arrays.equals(last, restored.content())) {
            final int order = compare(name, restored.content(), last);
            final boolean undoesDraining = known.entry().draining() && !restored.entry().draining();
            if (order < 0 || (order == 0 && undoesDraining)) {
                mHeld.put(name, last);
                return known.entry();
            }
        }
        if (unconfirmed) {
            mWithdrawn.put(name, restored.content());
            mHeld.put(name, restored.content());
            return restored.entry().asDraining();
        }
        onWritten(name);
        return restored.entry();
    }

    /**
     * Compares two writes of a replica by its start and by their number. Returns 0 if their order
     * is unknown.
     */
    private int compare(final String name, final byte[] first, final byte[] second) {
        try {
            final long firstStart = mFormat.readReplica(name, first).startedMillis();
            final long secondStart = mFormat.readReplica(name, second).startedMillis();
            if (firstStart != secondStart) {
                return firstStart == 0 || secondStart == 0
                        ? 0
                        : Long.compare(firstStart, secondStart);
            }
            final var firstNumber = mFormat.writeNumber(name, first);
            final var secondNumber = mFormat.writeNumber(name, second);
            return firstNumber.isEmpty() || secondNumber.isEmpty()
                    ? 0
                    : Long.compare(firstNumber.getAsLong(), secondNumber.getAsLong());
        } catch (final DirectoryException | RuntimeException | StackOverflowError e) {
            // The last known content may be unreadable, which is why it was removed.
            return 0;
        }
    }
}
