package io.persimmonreel.cli;

import java.io.PrintStream;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Implements the subcommand that checks an operator text or the settings of a relay. */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Check an operator text, or the settings of a relay (*.json).";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.positional("file", "the operator text, or the settings as JSON");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException {
        try {
            return new ConfigurationFileChecker().run(Path.of(flags.text("file")), out, err);
        } catch (final InvalidPathException e) {
            throw new BadInputException("file: '" + flags.text("file") + "' is not a path");
        }
    }
}
