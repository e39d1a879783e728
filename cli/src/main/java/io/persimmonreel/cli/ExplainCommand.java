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

/** Explains the decisions about one request. */
final class ExplainCommand implements Command {
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Say what the daemons decided about one request, and why.";
    }

    @Override
    public void declare(final FlagSet flags) {
        flags.positional("request", "the request's id")
                .value("operators", "127.0.0.1:9180", "operators' ports, by comma")
                .value("log", "", "read log files of relays instead, by comma")
                .toggle("json", "print the records as JSON");
    }

    @Override
    public int run(final Flags flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final String request = flags.text("request");
        if (!request.matches("[A-Za-z0-9._:-]{1,128}")) {
            throw new BadInputException("request: '" + request + "' is not a request id");
        }
        if (flags.optional("log").isPresent()) {
            return explainLogs(request, flags, out, err);
        }
        final Map<String, JsonNode> answers =
                new OperatorClient()
                        .read(flags.list("operators"), "/v1/explain/" + request, NOT_FOUND, err);
        final List<DecisionRecord> records = merge(answers.values());
        if (flags.isSet("json")) {
            out.println(JSON.writeValueAsString(records));
        } else {
            records.forEach(record -> out.println(DecisionFormatter.sentence(record)));
        }
        if (records.isEmpty()) {
            err.println("explain: no record of " + request + "; old records are dropped");
            return FAILURE;
        }
        return OK;
    }

    private static int explainLogs(
            final String request, final Flags flags, final PrintStream out, final PrintStream err)
            throws BadInputException {
        final LogStory story = new LogStory(request);
        for (final String file : flags.list("log")) {
            try (BufferedReader lines = Files.newBufferedReader(Path.of(file))) {
                story.read(lines);
            } catch (final IOException e) {
                throw new BadInputException("log: can't read " + file + ": " + e);
            }
        }
        (flags.isSet("json") ? story.json() : story.sentences()).forEach(out::println);
        if (story.isEmpty()) {
            err.println("explain: no line of " + request + "; routine lines are limited by rate");
            return FAILURE;
        }
        return OK;
    }

    /**
     * Joins the records of several daemons.
     *
     * @param answers the answers of {@code /v1/explain}
     * @return the records in order of time, each once although several daemons may report it
     * @throws BadInputException if a record is malformed
     */
    static List<DecisionRecord> merge(final Collection<JsonNode> answers) throws BadInputException {
        final Set<DecisionRecord> records = new LinkedHashSet<>();
        for (final JsonNode answer : answers) {
            for (final JsonNode record : answer.path("records")) {
                try {
                    records.add(JSON.treeToValue(record, DecisionRecord.class));
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
