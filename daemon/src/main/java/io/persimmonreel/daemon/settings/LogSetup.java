package io.persimmonreel.daemon.settings;

import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures logging of the process, to which all instances of {@link System.Logger} write. */
public final class LogSetup {
    /** Keeps the loggers whose level is set; the JDK refers to them only weakly. */
    private final List<Logger> mLibraryLoggers =
            List.of(Logger.getLogger("ratpack"), Logger.getLogger("io.netty"));

    /**
     * Replaces the log handlers of the process by one that writes to the console.
     *
     * @param format the format of log lines
     */
    public LogSetup(final LogFormat format) {
        final Logger root = Logger.getLogger("");
        for (final Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        final Handler console = new ConsoleHandler();
        console.setFormatter(new LogLineFormatter(format));
        root.addHandler(console);
        mLibraryLoggers.forEach(logger -> logger.setLevel(Level.WARNING));
    }
}
