package io.persimmonreel.cli;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/**
 * Keeps the log open during a graceful shutdown.
 *
 * <p>The standard log manager closes all handlers as soon as a shutdown begins, so that nothing
 * would be logged while requests in progress finish.
 */
public final class ProcessLogManager extends LogManager {
    /** Libraries log warnings and errors only; classes of this project also log information. */
    private static final String CONFIGURATION =
            "handlers=java.util.logging.ConsoleHandler\n"
                    + ".level=WARNING\n"
                    + "io.persimmonreel.level=INFO\n"
                    + "java.util.logging.ConsoleHandler.level=ALL\n"
                    + "java.util.logging.SimpleFormatter.format="
                    + "%1$tY-%1$tm-%1$tdT%1$tH:%1$tM:%1$tS.%1$tL %4$s %5$s%6$s%n\n";

    private volatile boolean mConfigured;

    /** Creates a log manager; the Java runtime does so by class name. */
    public ProcessLogManager() {}

    /** Sets levels and formats, which a later {@link #reset} leaves unchanged. */
    static void configure() {
        final LogManager manager = LogManager.getLogManager();
        try {
            manager.readConfiguration(
                    new ByteArrayInputStream(CONFIGURATION.getBytes(StandardCharsets.UTF_8)));
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
        if (manager instanceof ProcessLogManager process) {
            process.mConfigured = true;
        }
    }

    @Override
    public void reset() {
        if (!mConfigured) {
            super.reset();
        }
    }
}
