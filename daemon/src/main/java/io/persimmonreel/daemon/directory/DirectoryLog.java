package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.daemon.log.EventLog;
import java.util.function.Consumer;

/** Logs and counts what follows from restores of the directory. Not thread-safe. */
final class DirectoryLog {
    private final EventLog mLog;
    private Consumer<String> mCounter = event -> {};

    DirectoryLog(final EventLog log) {
        mLog = log;
    }

    /** Sets the receiver of the names of events, of which there is a fixed number. */
    void countTo(final Consumer<String> counter) {
        mCounter = counter;
    }

    void onNewEra(final DirectoryVersion before, final DirectoryVersion version) {
        line("directory", "new-era")
                .put("era", version.era())
                .put("revision", version.revision())
                .put("era_before", before.era())
                .put("revision_before", before.revision())
                .write();
    }

    void onOutdated(final DirectoryVersion version, final DirectoryVersion known) {
        line("directory", "outdated-ignored")
                .put("era", version.era())
                .put("revision", version.revision())
                .put("known_era", known.era())
                .put("known", known.revision())
                .write();
    }

    void onOlderEra(final long era, final long knownEra) {
        line("directory", "older-era-ignored").put("era", era).put("known_era", knownEra).write();
    }

    void onHeld(final ReplicaEntry entry) {
        line("replica", "held")
                .put("replica", entry.id())
                .put("draining", entry.draining())
                .write();
    }

    void onConfirmed(final ReplicaEntry entry) {
        line("replica", "confirmed").put("replica", entry.id()).write();
    }

    void onContentReplaced(final long configVersion, final long era, final long eraBefore) {
        line("config", "content-replaced")
                .put("version", configVersion)
                .put("era", era)
                .put("era_before", eraBefore)
                .write();
    }

    private EventLog.Line line(final String part, final String event) {
        mCounter.accept(event);
        return mLog.event(part, event);
    }
}
