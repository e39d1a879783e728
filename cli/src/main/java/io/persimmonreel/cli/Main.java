package io.persimmonreel.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystemException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Parses the command line and runs the subcommand that the first argument names. */
public final class Main {
    private static final String COMMAND_ARGUMENT = "command";

    private final List<Command> mCommands;
    private final Map<String, String> mEnvironment;

    Main(final Map<String, String> environment) {
        mEnvironment = environment;
        mCommands =
                List.of(
                        new DemoCommand(),
                        new CheckCommand(),
                        new SendCommand(),
                        new ReportCommand(),
                        new ExplainCommand(),
                        new ExperimentCommand(),
                        new FakesCommand(),
                        new VersionCommand());
    }

    /**
     * Runs the command line and exits with 0 on success, 1 on failure and 2 on bad input.
     *
     * @param arguments the arguments
     */
    public static void main(final String[] arguments) {
        // The Java runtime reads this property when the first logging class is initialized.
        System.setProperty("java.util.logging.manager", ProcessLogManager.class.getName());
        ProcessLogManager.configure();
        System.exit(new Main(System.getenv()).run(arguments, System.out, System.err));
    }

    /** Runs the command line and returns the exit code. */
    int run(final String[] arguments, final PrintStream out, final PrintStream err) {
        final ArgumentParser parser = parser();
        try {
            if (arguments.length > 0 && DaemonCommand.NAME.equals(arguments[0])) {
                return new DaemonCommand(mEnvironment)
                        .run(Arrays.copyOfRange(arguments, 1, arguments.length), out, err);
            }
            final Map<String, Object> values = parser.parseArgs(arguments).getAttrs();
            values.values().removeIf(value -> value == null);
            for (final Command command : mCommands) {
                if (command.name().equals(values.get(COMMAND_ARGUMENT))) {
                    return command.run(new FlagValues(values), out, err);
                }
            }
            return Command.BAD_INPUT;
        } catch (final HelpScreenException e) {
            return Command.OK;
        } catch (final ArgumentParserException e) {
            final PrintWriter writer = new PrintWriter(err, true, StandardCharsets.UTF_8);
            e.getParser().handleError(e, writer);
            writer.flush();
            return Command.BAD_INPUT;
        } catch (final BadInputException e) {
            err.println("persimmonreel: " + e.getMessage());
            return Command.BAD_INPUT;
        } catch (final IOException e) {
            err.println("persimmonreel: " + describe(e));
            return Command.FAILURE;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            err.println("persimmonreel: interrupted");
            return Command.FAILURE;
        }
    }

    private ArgumentParser parser() {
        // Detecting the terminal width would start a process.
        final ArgumentParser parser =
                ArgumentParsers.newFor("persimmonreel")
                        .terminalWidthDetection(false)
                        .build()
                        .description("Schedules requests to model engines and plain services.");
        final Subparsers subparsers =
                parser.addSubparsers().dest(COMMAND_ARGUMENT).metavar("COMMAND");
        subparsers.addParser(DaemonCommand.NAME).help(DaemonCommand.SUMMARY);
        for (final Command command : mCommands) {
            final Subparser subparser =
                    subparsers
                            .addParser(command.name())
                            .help(command.summary())
                            .description(command.summary());
            command.declare(new FlagDeclarations(subparser, mEnvironment));
        }
        return parser;
    }

    private static String describe(final IOException error) {
        // The message of a file system error is often only the path.
        final boolean pathOnly = error.getMessage() == null || error instanceof FileSystemException;
        return pathOnly ? error.toString().replaceFirst("^(\\w+\\.)+", "") : error.getMessage();
    }
}
