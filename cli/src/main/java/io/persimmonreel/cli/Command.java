package io.persimmonreel.cli;

import java.io.IOException;
import java.io.PrintStream;

/** Represents a subcommand of the command line. */
interface Command {
    /** Exit code of a command that succeeded. */
    int OK = 0;

    /** Exit code of a command that failed. */
    int FAILURE = 1;

    /** Exit code of a command that got bad input. */
    int BAD_INPUT = 2;

    /** Returns the name of the subcommand. */
    String name();

    /** Returns a one-sentence summary for the help text. */
    String summary();

    /** Declares the flags and positional arguments. */
    void declare(FlagDeclarations flags);

    /**
     * Runs the command.
     *
     * @param flags the values of the flags
     * @param out receives results
     * @param err receives errors and progress
     * @return the exit code
     * @throws BadInputException if a flag or an input is invalid
     * @throws IOException if reading or writing a file or connection fails
     * @throws InterruptedException if the thread is interrupted
     */
    int run(FlagValues flags, PrintStream out, PrintStream err)
            throws BadInputException, IOException, InterruptedException;
}
