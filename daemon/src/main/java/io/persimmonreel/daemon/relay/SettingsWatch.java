package io.persimmonreel.daemon.relay;

import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Reloads the settings file when its content has changed.
 *
 * <p>A file that can't be read or parsed leaves the settings unchanged. Not thread safe.
 */
public final class SettingsWatch {
    private final Path mFile;
    private final EventLog mLog;
    private final Consumer<RelaySettings> mConsumer;
    private byte[] mContent;

    /**
     * Creates a watch.
     *
     * @param file the settings file
     * @param log the log for reloads and failures
     * @param consumer receives changed settings
     */
    public SettingsWatch(
            final Path file, final EventLog log, final Consumer<RelaySettings> consumer) {
        mFile = file;
        mLog = log;
        mConsumer = consumer;
        mContent = read();
    }

    /**
     * Reads the file and reports the settings if it changed.
     *
     * @param cause the cause of the check for the log, such as a signal
     */
    public void check(final String cause) {
        final byte[] content = read();
        if (content == null || Arrays.equals(content, mContent)) {
            return;
        }
        mContent = content;
        try {
            final RelaySettings settings = RelaySettings.parse(mFile.toString(), content);
            mLog.event("settings", "reloaded").put("cause", cause).write();
            mConsumer.accept(settings);
        } catch (final SettingsException e) {
            mLog.event("settings", "refused")
                    .put("cause", cause)
                    .put("error", e.getMessage())
                    .write();
        }
    }

    private byte[] read() {
        try {
            return Files.readAllBytes(mFile);
        } catch (final IOException e) {
            mLog.event("settings", "unreadable").put("error", e.toString()).write();
            return null;
        }
    }
}
