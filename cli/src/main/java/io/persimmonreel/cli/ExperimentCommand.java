package io.persimmonreel.cli;

import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.experiment.capacity.CapacityMeasurement;
import io.persimmonreel.experiment.membership.MembershipExperiment;
import io.persimmonreel.experiment.ownership.OwnershipComparison;
import io.persimmonreel.experiment.policy.PolicyExperiment;
import io.persimmonreel.experiment.policy.Targets;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;

/** Implements the subcommand that runs an experiment and prints its figures. */
final class ExperimentCommand implements Command {
    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "Run an experiment and print its figures.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.positional("experiment", "policy, ownership, membership, capacity or relay")
                .value("seed", "1", "seed of the policy and ownership experiments")
                .value("plots", "", "directory for the plots of the policy experiment")
                .toggle(
                        "full",
                        "do all runs of the policy experiment, not only those that a target needs");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final String name = flags.text("experiment");
        return switch (name) {
            case "policy" -> policy(flags, out);
            case "ownership" -> ownership(flags, out);
            case "membership" -> membership(out);
            case "capacity" -> capacity(out);
            case "relay" -> relay(out);
            default -> throw new BadInputException("experiment: no experiment is named " + name);
        };
    }

    private static int policy(final FlagValues flags, final PrintStream out)
            throws BadInputException, IOException, InterruptedException {
        final int seed = flags.integer("seed", 0, Integer.MAX_VALUE);
        final String plots = flags.text("plots");
        final Optional<Path> directory =
                plots.isEmpty() ? Optional.empty() : Optional.of(Path.of(plots));
        final boolean targetsMet =
                PolicyExperiment.run(out, seed, !flags.isSet("full"), directory).stream()
                        .allMatch(Targets.Verdict::holds);
        return targetsMet ? OK : FAILURE;
    }

    private static int ownership(final FlagValues flags, final PrintStream out)
            throws BadInputException {
        OwnershipComparison.run(out, flags.integer("seed", 0, Integer.MAX_VALUE));
        return OK;
    }

    private static int membership(final PrintStream out) {
        MembershipExperiment.run(out);
        return OK;
    }

    private static int relay(final PrintStream out) throws IOException, InterruptedException {
        DaemonOverheadMeasurement.run(out);
        return OK;
    }

    private static int capacity(final PrintStream out) throws IOException, InterruptedException {
        try {
            CapacityMeasurement.run(out);
            return OK;
        } catch (final ConfigurationException e) {
            throw new IOException("capacity: a generated operator text was rejected", e);
        }
    }
}
