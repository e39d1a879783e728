package io.persimmonreel.cli;

import java.io.PrintStream;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Checks an operator text or the settings of a relay. */
final class CheckSubcommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Check an operator text, or the settings of a relay (*.json).";
    }

    @Override
    public void declare(final FlagSet flags) {
        flags.positional("file", "the operator text, or settings as JSON");
    }

    @Override
    public int run(final Flags flags, final PrintStream out, final PrintStream err)
            throws BadInputException {
        try {
            return new CheckCommand().run(Path.of(flags.text("file")), out, err);
        } catch (final InvalidPathException e) {
            throw new BadInputException("file: '" + flags.text("file") + "' is not a path");
        }
    }
}
