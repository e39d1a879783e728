package io.persimmonreel.cli;

import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Declares the flags of a subcommand, each of which can also be set by environment variable. */
final class FlagDeclarations {
    private static final String VARIABLE_PREFIX = "PERSIMMONREEL_";

    private final ArgumentParser mParser;
    private final Map<String, String> mEnvironment;

    FlagDeclarations(final ArgumentParser parser, final Map<String, String> environment) {
        mParser = parser;
        mEnvironment = environment;
    }

    /** Returns the name of the environment variable that sets a flag. */
    static String variable(final String name) {
        return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** Declares a flag with a value; an empty default means that the flag is optional. */
    FlagDeclarations value(final String name, final String defaultValue, final String help) {
        final String defaultHelp = defaultValue.isEmpty() ? "" : ", default " + defaultValue;
        mParser.addArgument("--" + name)
                .dest(name)
                .metavar(name.toUpperCase(Locale.ROOT).replace('-', '_'))
                .setDefault(mEnvironment.getOrDefault(variable(name), defaultValue))
                .help(escape(help + " (" + variable(name) + defaultHelp + ")"));
        return this;
    }

    /** Declares a flag without a value. */
    FlagDeclarations toggle(final String name, final String help) {
        mParser.addArgument("--" + name)
                .dest(name)
                .action(Arguments.storeConst())
                .setConst("true")
                .setDefault(mEnvironment.getOrDefault(variable(name), "false"))
                .help(escape(help + " (" + variable(name) + ")"));
        return this;
    }

    /** Declares a positional argument. */
    FlagDeclarations positional(final String name, final String help) {
        mParser.addArgument(name).help(escape(help));
        return this;
    }

    private static String escape(final String help) {
        return help.replace("%", "%%");
    }
}
