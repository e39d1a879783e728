package io.persimmonreel.cli;

import io.persimmonreel.daemon.Daemon;
import io.persimmonreel.daemon.DaemonException;
import io.persimmonreel.daemon.settings.DaemonSettings;
import io.persimmonreel.daemon.settings.LogSetup;
import io.persimmonreel.daemon.settings.SettingsException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/** Implements the subcommand that runs one daemon until the process is stopped by a signal. */
final class DaemonCommand {
    static final String NAME = "daemon";
    static final String SUMMARY = "Run one daemon; 'daemon --help' lists its settings.";

    private final Map<String, String> mEnvironment;

    DaemonCommand(final Map<String, String> environment) {
        mEnvironment = environment;
    }

    /** Runs a daemon; returns only after printing help or if the daemon can't start. */
    int run(final String[] arguments, final PrintStream out, final PrintStream err)
            throws InterruptedException {
        final List<String> argumentList = List.of(arguments);
        if (argumentList.contains("--help") || argumentList.contains("-h")) {
            out.print(DaemonSettings.usage());
            return Command.OK;
        }
        final DaemonSettings settings;
        try {
            settings = DaemonSettings.parse(arguments, mEnvironment);
        } catch (final SettingsException e) {
            err.println("persimmonreel: " + e.getMessage());
            return Command.BAD_INPUT;
        }
        // Must stay reachable: it holds the loggers whose levels it sets, so that they are not
        // garbage collected.
        final LogSetup logSetup = new LogSetup(settings.logFormat());
        final Daemon daemon = new Daemon(settings);
        try {
            daemon.start();
        } catch (final DaemonException e) {
            err.println("persimmonreel: " + describe(e));
            return Command.FAILURE;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
        out.println(
                "daemon: callers " + daemon.callerPort() + ", operators " + daemon.operatorPort());
        synchronized (logSetup) {
            while (true) {
                logSetup.wait();
            }
        }
    }

    /** Stops the daemon and sets the exit code, which the signal would otherwise determine. */
    private static void shutDown(final Daemon daemon) {
        int code = Command.FAILURE;
        try {
            code = daemon.stop() ? Command.OK : Command.FAILURE;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(code);
    }

    private static String describe(final Throwable error) {
        final Throwable cause = error.getCause();
        return cause == null ? error.getMessage() : error.getMessage() + ": " + cause.getMessage();
    }
}
