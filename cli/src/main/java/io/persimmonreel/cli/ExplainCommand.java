package io.persimmonreel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.explain.DecisionFormatter;
import io.persimmonreel.core.explain.DecisionRecord;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Implements the subcommand that explains the daemons' decisions about one request. */
final class ExplainCommand implements Command {
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper JSON_MAPPER = new ObjectMapper();

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Explain what the daemons decided about one request, and why.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.positional("request", "the request id")
                .value("operators", "127.0.0.1:9180", "operator ports of daemons, comma-separated")
                .value("log", "", "log files of relays to read instead, comma-separated")
                .toggle("json", "print the records as JSON");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final String request = flags.text("request");
        if (!request.matches("[A-Za-z0-9._:-]{1,128}")) {
            throw new BadInputException("request: '" + request + "' is not a request id");
        }
        if (flags.optional("log").isPresent()) {
            return explainFromLogs(request, flags, out, err);
        }
        final Map<String, JsonNode> answers =
                new OperatorClient()
                        .read(flags.list("operators"), "/v1/explain/" + request, NOT_FOUND, err);
        final List<DecisionRecord> records = merge(answers.values());
        if (flags.isSet("json")) {
            out.println(JSON_MAPPER.writeValueAsString(records));
        } else {
            records.forEach(record -> out.println(DecisionFormatter.sentence(record)));
        }
        if (records.isEmpty()) {
            err.println("explain: no record of " + request + "; daemons drop old records");
            return FAILURE;
        }
        return OK;
    }

    private static int explainFromLogs(
            final String request,
            final FlagValues flags,
            final PrintStream out,
            final PrintStream err)
            throws BadInputException {
        final RequestLogReader logReader = new RequestLogReader(request);
        for (final String file : flags.list("log")) {
            try (BufferedReader lines = Files.newBufferedReader(Path.of(file))) {
                logReader.read(lines);
            } catch (final IOException e) {
                throw new BadInputException("log: can't read " + file + ": " + e);
            }
        }
        (flags.isSet("json") ? logReader.json() : logReader.sentences()).forEach(out::println);
        if (logReader.isEmpty()) {
            err.println(
                    "explain: no log line about " + request + "; routine lines are rate-limited");
            return FAILURE;
        }
        return OK;
    }

    /**
     * Merges the decision records of several daemons.
     *
     * @param answers the response bodies of {@code /v1/explain}
     * @return the distinct records in order of time; several daemons may report the same one
     * @throws BadInputException if a record is malformed
     */
    static List<DecisionRecord> merge(final Collection<JsonNode> answers) throws BadInputException {
        final Set<DecisionRecord> records = new LinkedHashSet<>();
        for (final JsonNode answer : answers) {
            for (final JsonNode record : answer.path("records")) {
                try {
                    records.add(JSON_MAPPER.treeToValue(record, DecisionRecord.class));
                } catch (final JsonProcessingException e) {
                    throw new BadInputException("explain: an answer has a malformed record");
                }
            }
        }
        final List<DecisionRecord> sorted = new ArrayList<>(records);
        sorted.sort(Comparator.comparingLong(DecisionRecord::wallMillis));
        return sorted;
    }
}
