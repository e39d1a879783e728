package io.persimmonreel.cli;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.ConfigurationLimits;
import io.persimmonreel.core.config.Finding;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.daemon.relay.RelaySettings;
import io.persimmonreel.daemon.settings.SettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Checks an operator text or the settings of a relay as daemons and relays check them. */
public final class ConfigurationFileChecker {
    /** Exit code for an accepted file. */
    public static final int ACCEPTED = 0;

    /** Exit code for a file that has findings or can't be read. */
    public static final int REJECTED = 2;

    /** Suffix of relay settings, which are JSON; operator texts have other suffixes. */
    private static final String SETTINGS_SUFFIX = ".json";

    /** Any version will do: the configuration service assigns it, and no check depends on it. */
    private static final long ANY_VERSION = 1;

    private final OperatorTextParser mParser = new OperatorTextParser();

    /**
     * Checks a file and prints all findings, each as {@code file:line: field: reason}.
     *
     * @param file the file
     * @param out receives a line that says that the file is accepted
     * @param err receives findings and errors
     * @return the exit code: 0 if the file is accepted, 2 if it has findings or can't be read
     */
    public int run(final Path file, final PrintStream out, final PrintStream err) {
        final byte[] bytes;
        try {
            bytes = read(file);
        } catch (final IOException e) {
            err.println("config: can't read " + file + ": " + reason(e));
            return REJECTED;
        }
        if (file.toString().endsWith(SETTINGS_SUFFIX)) {
            return checkSettings(file.toString(), bytes, out, err);
        }
        final String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (final CharacterCodingException e) {
            err.println(new Finding(file.toString(), 1, "text", "is not UTF-8"));
            return REJECTED;
        }
        return checkOperatorText(file.toString(), text, out, err);
    }

    private static int checkSettings(
            final String file, final byte[] bytes, final PrintStream out, final PrintStream err) {
        try {
            final RelaySettings settings = RelaySettings.parse(file, bytes);
            out.printf(
                    "%s: accepted: relay %s in zone %s, %d seeds%n",
                    file, settings.name(), settings.zone(), settings.seeds().size());
            return ACCEPTED;
        } catch (final SettingsException e) {
            err.println(e.getMessage());
            return REJECTED;
        }
    }

    private int checkOperatorText(
            final String file, final String text, final PrintStream out, final PrintStream err) {
        try {
            final Configuration accepted = mParser.parse(file, ANY_VERSION, text);
            out.printf(
                    "%s: accepted: %d customers, %d upstreams, %d services%n",
                    file,
                    accepted.customers().size(),
                    accepted.upstreams().size(),
                    accepted.services().size());
            return ACCEPTED;
        } catch (final ConfigurationException e) {
            e.findings().forEach(err::println);
            return REJECTED;
        }
    }

    /**
     * Reads at most one byte more than allowed, which is enough to detect that a file is too large.
     */
    private static byte[] read(final Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return in.readNBytes(ConfigurationLimits.MAXIMUM_TEXT_BYTES + 1);
        }
    }

    private static String reason(final IOException e) {
        final String name = e.getClass().getSimpleName();
        return e.getMessage() == null ? name : name + ": " + e.getMessage();
    }
}
