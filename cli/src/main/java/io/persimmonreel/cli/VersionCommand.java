package io.persimmonreel.cli;

import java.io.PrintStream;
import java.util.Optional;

/** Implements the subcommand that prints the version. */
final class VersionCommand implements Command {
    @Override
    public String name() {
        return "version";
    }

    @Override
    public String summary() {
        return "Print the version.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {}

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err) {
        final String version =
                Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                        .orElse("development build");
        out.println("persimmonreel " + version + ", Java " + Runtime.version());
        return OK;
    }
}
