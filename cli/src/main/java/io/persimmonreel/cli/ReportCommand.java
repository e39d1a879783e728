package io.persimmonreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.objective.ObjectiveReport;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Implements the subcommand that reports how a fleet meets its objectives. */
final class ReportCommand implements Command {
    @Override
    public String name() {
        return "report";
    }

    @Override
    public String summary() {
        return "Report attainment, error budgets, goodput and wasted prefill of a fleet.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.value("operators", "127.0.0.1:9180", "operator ports of all daemons, comma-separated")
                .toggle("json", "print the report as JSON")
                .value("html", "", "also write the report with plots to this file");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final Map<String, JsonNode> answers =
                new OperatorClient().read(flags.list("operators"), "/v1/report", 0, err);
        ObjectiveReport report = ObjectiveReport.NONE;
        for (final JsonNode answer : answers.values()) {
            report = report.plus(ReportReader.read(answer));
        }
        if (flags.isSet("json")) {
            out.println(
                    new ObjectMapper()
                            .writerWithDefaultPrettyPrinter()
                            .writeValueAsString(ReportText.json(report)));
        } else {
            ReportText.print(report, out);
        }
        if (flags.optional("html").isPresent()) {
            writeHtml(report, flags.text("html"), err);
        }
        return answers.size() == flags.list("operators").size() && !answers.isEmpty()
                ? OK
                : FAILURE;
    }

    private static void writeHtml(
            final ObjectiveReport report, final String file, final PrintStream err)
            throws IOException {
        if (report.services().isEmpty()) {
            err.println("report: no requests yet, " + file + " was not written");
            return;
        }
        Files.writeString(Path.of(file), ReportHtml.format(report));
        err.println("report: wrote " + file);
    }
}
