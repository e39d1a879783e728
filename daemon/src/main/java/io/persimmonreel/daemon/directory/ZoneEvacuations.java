package io.persimmonreel.daemon.directory;

import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Holds the documents that evacuate availability zones. A zone is evacuated for as long as its
 * document exists, whatever the content is.
 *
 * <p>The documents of one response are applied in two steps: evacuations begin before the other
 * documents are applied and end after them. Otherwise requests could be placed in a zone that the
 * same response evacuates, or at a replica of a zone taken back that it states to be draining.
 *
 * <p>A directory that is restored from a copy lacks its last writes, which the operator repeats.
 * For the time that this takes, a snapshot neither ends an evacuation nor brings back one that had
 * been removed. A write or a removal that the directory reports as a change takes effect at once.
 * Not thread-safe.
 */
final class ZoneEvacuations {
    /** The time within which the operator repeats the writes that a restore has lost. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final DirectoryFormat mFormat;
    private final DirectoryListener mListener;
    private final EventLog mLog;

    /** The contents of the evacuations in force, by the name of the document. */
    private final Map<String, byte[]> mContents = new TreeMap<>();

    /** The names of evacuations that were removed and not written again since. */
    private final Set<String> mRemoved = new TreeSet<>();

    /** The evacuations in force that a restored directory lacks. */
    private final Set<String> mHeld = new TreeSet<>();

    /** The contents of evacuations that a restored directory has although they were removed. */
    private final Map<String, byte[]> mDeferred = new TreeMap<>();

    private boolean mRestored;
    private long mRestoredNanos;

    ZoneEvacuations(
            final DirectoryFormat format, final DirectoryListener listener, final EventLog log) {
        mFormat = format;
        mListener = listener;
        mLog = log;
    }

    /**
     * Handles the first response of a directory that was restored.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void onRestored(final long nowNanos) {
        mRestored = true;
        mRestoredNanos = nowNanos;
    }

    /**
     * Applies what a restored directory lacks or brings back, once the operator has had the time to
     * repeat lost writes.
     *
     * @param revision the revision of the documents, for the log
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void settle(final long revision, final long nowNanos) {
        if (!mRestored || nowNanos - mRestoredNanos < REPEAT_NANOS) {
            return;
        }
        mRestored = false;
        boolean changed = false;
        for (final String name : List.copyOf(mHeld)) {
            changed |= end(name, revision);
        }
        for (final Map.Entry<String, byte[]> deferred : Map.copyOf(mDeferred).entrySet()) {
            changed |= begin(deferred.getKey(), deferred.getValue(), revision);
        }
        report(changed);
    }

    /**
     * Begins the evacuations whose documents were written by a change.
     *
     * @param documents the changed documents, in the order of their changes
     * @param revision the revision of the documents, for the log
     */
    void beginWritten(final List<Document> documents, final long revision) {
        boolean changed = false;
        for (final Map.Entry<String, Optional<byte[]>> document : last(documents).entrySet()) {
            if (document.getValue().isPresent()) {
                changed |= begin(document.getKey(), document.getValue().get(), revision);
            }
        }
        report(changed);
    }

    /**
     * Begins the evacuations whose documents are in a snapshot.
     *
     * @param documents all documents
     * @param revision the revision of the snapshot, for the log
     */
    void beginPresent(final List<Document> documents, final long revision) {
        boolean changed = false;
        for (final Map.Entry<String, Optional<byte[]>> document : last(documents).entrySet()) {
            final String name = document.getKey();
            final byte[] content = document.getValue().orElse(null);
            if (content != null && mRestored && mRemoved.contains(name)) {
                if (mDeferred.put(name, content) == null) {
                    log("deferred", name, revision);
                }
            } else if (content != null) {
                changed |= begin(name, content, revision);
            }
        }
        report(changed);
    }

    /**
     * Ends the evacuations whose documents were removed by a change.
     *
     * @param documents the changed documents, in the order of their changes
     * @param revision the revision of the documents, for the log
     */
    void endRemoved(final List<Document> documents, final long revision) {
        boolean changed = false;
        for (final Map.Entry<String, Optional<byte[]>> document : last(documents).entrySet()) {
            if (document.getValue().isEmpty()) {
                changed |= end(document.getKey(), revision);
            }
        }
        report(changed);
    }

    /**
     * Ends the evacuations whose documents are missing from a snapshot.
     *
     * @param present the names of the documents in the snapshot
     * @param revision the revision of the snapshot, for the log
     */
    void endAbsent(final Set<String> present, final long revision) {
        boolean changed = false;
        mDeferred.keySet().retainAll(present);
        for (final String name : List.copyOf(mContents.keySet())) {
            if (!present.contains(name) && !mRestored) {
                changed |= end(name, revision);
            } else if (!present.contains(name) && mHeld.add(name)) {
                log("held", name, revision);
            }
        }
        report(changed);
    }

    /**
     * Adds the documents that the directory has to a copy for a peer, which decides for itself what
     * it holds or defers. An evacuation that is held would never end at a peer whose next copy has
     * the same revision.
     *
     * @param names receives the names
     * @param contents receives the contents, in the same order
     */
    void copyTo(final List<String> names, final List<byte[]> contents) {
        final Map<String, byte[]> documents = new TreeMap<>(mContents);
        documents.keySet().removeAll(mHeld);
        documents.putAll(mDeferred);
        names.addAll(documents.keySet());
        contents.addAll(documents.values());
    }

    /** Returns the last state of each evacuation document, since one may change several times. */
    private Map<String, Optional<byte[]>> last(final List<Document> documents) {
        final Map<String, Optional<byte[]>> last = new TreeMap<>();
        for (final Document document : documents) {
            if (mFormat.evacuatedZone(document.name()).isPresent()) {
                last.put(document.name(), document.content());
            }
        }
        return last;
    }

    private boolean begin(final String name, final byte[] content, final long revision) {
        mRemoved.remove(name);
        mHeld.remove(name);
        mDeferred.remove(name);
        if (mContents.put(name, content) != null) {
            return false;
        }
        log("evacuated", name, revision);
        return true;
    }

    private boolean end(final String name, final long revision) {
        mHeld.remove(name);
        mDeferred.remove(name);
        if (mContents.remove(name) == null) {
            return false;
        }
        mRemoved.add(name);
        log("taken-back", name, revision);
        return true;
    }

    private void report(final boolean changed) {
        if (changed) {
            final Set<String> zones = new TreeSet<>();
            mContents.keySet().forEach(name -> mFormat.evacuatedZone(name).ifPresent(zones::add));
            mListener.onEvacuatedZones(zones);
        }
    }

    private void log(final String event, final String name, final long revision) {
        mLog.event("zone", event)
                .put("zone", mFormat.evacuatedZone(name).orElse(null))
                .put("revision", revision)
                .write();
    }
}
