package io.persimmonreel.daemon.directory;

import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the documents that evacuate availability zones. A zone is evacuated for as long as its
 * document exists, whatever the content is.
 *
 * <p>The documents of one response are applied in two steps: evacuations begin before the other
 * documents are applied and end after them. Otherwise requests could be placed in a zone that the
 * same response evacuates, or at a replica of a zone taken back that it states to be draining. Not
 * thread-safe.
 */
final class ZoneEvacuations {
    private final DirectoryFormat mFormat;
    private final DirectoryListener mListener;
    private final EventLog mLog;

    /** The contents by the name of the document. */
    private final Map<String, byte[]> mContents = new TreeMap<>();

    ZoneEvacuations(
            final DirectoryFormat format, final DirectoryListener listener, final EventLog log) {
        mFormat = format;
        mListener = listener;
        mLog = log;
    }

    /**
     * Begins the evacuations whose documents are present.
     *
     * @param documents the documents of a response, in the order of their changes
     * @param revision the revision of the documents, for the log
     */
    void begin(final List<Document> documents, final long revision) {
        boolean changed = false;
        for (final Map.Entry<String, Optional<byte[]>> document : last(documents).entrySet()) {
            final String name = document.getKey();
            final byte[] content = document.getValue().orElse(null);
            if (content != null && mContents.put(name, content) == null) {
                log("evacuated", name, revision);
                changed = true;
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
        for (final String name : List.copyOf(mContents.keySet())) {
            if (!present.contains(name)) {
                changed |= end(name, revision);
            }
        }
        report(changed);
    }

    /**
     * Adds the documents to a copy for a peer.
     *
     * @param names receives the names
     * @param contents receives the contents, in the same order
     */
    void copyTo(final List<String> names, final List<byte[]> contents) {
        names.addAll(mContents.keySet());
        contents.addAll(mContents.values());
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

    private boolean end(final String name, final long revision) {
        if (mContents.remove(name) == null) {
            return false;
        }
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
