package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Holds the configuration in force, which never returns to a lower version and never disappears, so
 * that a revoked key stays revoked.
 *
 * <p>If a restored directory has another content of the same version, that of the newer era is
 * used. Not thread-safe.
 */
final class ConfigurationInForce {
    private final DirectoryFormat mFormat;
    private final DirectoryListener mListener;
    private final EventLog mLog;
    private final DirectoryLog mDirectoryLog;
    private RelayConfiguration mConfiguration;
    private String mName;
    private byte[] mContent;
    private long mEra;

    ConfigurationInForce(
            final DirectoryFormat format,
            final DirectoryListener listener,
            final EventLog log,
            final DirectoryLog directoryLog) {
        mFormat = format;
        mListener = listener;
        mLog = log;
        mDirectoryLog = directoryLog;
    }

    Optional<RelayConfiguration> configuration() {
        return Optional.ofNullable(mConfiguration);
    }

    /** Returns the version in force, or 0 before the first one. */
    long version() {
        return mConfiguration == null ? 0 : mConfiguration.version();
    }

    /** Returns the newest era in which the directory had this configuration. */
    long era() {
        return mEra;
    }

    /** Returns the document if it is newer than that of a peer. */
    Optional<Document> documentNewerThan(final long version, final long era) {
        return mConfiguration != null
                        && (version() > version || (version() == version && mEra > era))
                ? Optional.of(new Document(mName, Optional.of(mContent)))
                : Optional.empty();
    }

    /**
     * Applies the configurations among documents.
     *
     * @param documents the documents
     * @param era the newest era in which the directory had them
     * @param revision the revision of the documents
     */
    void apply(final List<Document> documents, final long era, final long revision) {
        for (final Document document : documents) {
            if (mFormat.isConfiguration(document.name())) {
                apply(document.name(), document.content().orElse(null), era, revision);
            }
        }
    }

    private void apply(
            final String name, final byte[] content, final long era, final long revision) {
        if (content == null) {
            mLog.event("config", "removal-ignored").put("revision", revision).write();
            return;
        }
        try {
            final RelayConfiguration configuration = mFormat.readConfiguration(name, content);
            if (mConfiguration != null && !isReplacement(configuration, content, era)) {
                return;
            }
            mLog.event("config", "in-force")
                    .put("version", configuration.version())
                    .put("before", version())
                    .put("revision", revision)
                    .write();
            mName = name;
            mContent = content;
            mEra = era;
            mConfiguration = configuration;
            mListener.onConfiguration(configuration);
        } catch (final DirectoryException e) {
            mLog.event("config", "unreadable").put("error", e.getMessage()).write();
        }
    }

    private boolean isReplacement(
            final RelayConfiguration configuration, final byte[] content, final long era) {
        if (configuration.version() != version() || era <= mEra) {
            return configuration.version() > version();
        }
        if (Arrays.equals(content, mContent)) {
            mEra = era;
            return false;
        }
        mDirectoryLog.onContentReplaced(configuration.version(), era, mEra);
        return true;
    }
}
