package io.persimmonreel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects from the logs of relays what concerns one request: its own lines, and what relays came
 * to believe of its replicas shortly before and after.
 */
final class LogStory {
    /** Relays learn of a replica's end within this time, clocks that differ included. */
    private static final long AROUND_MILLIS = 3_000;

    private static final String REQUEST_PART = "request";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String mRequest;
    private final List<JsonNode> mLines = new ArrayList<>();
    private final List<JsonNode> mBeliefs = new ArrayList<>();

    LogStory(final String request) {
        mRequest = request;
    }

    /** Reads a log; lines that are no JSON object belong to other programs and are skipped. */
    void read(final BufferedReader log) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            final int start = line.indexOf('{');
            if (start < 0) {
                continue;
            }
            final JsonNode node;
            try {
                node = JSON.readTree(line.substring(start));
            } catch (final JsonProcessingException e) {
                continue;
            }
            if (node.path("id").asText().equals(mRequest)
                    && node.path("part").asText().equals(REQUEST_PART)) {
                mLines.add(node);
            } else if (node.path("part").asText().equals("replica")) {
                mBeliefs.add(node);
            }
        }
    }

    boolean isEmpty() {
        return mLines.isEmpty();
    }

    /** Returns the lines in order of time, as they were written. */
    List<String> json() {
        return inOrder().stream().map(JsonNode::toString).toList();
    }

    /** Returns the lines in order of time, for people. */
    List<String> sentences() {
        return inOrder().stream().map(LogStory::sentence).toList();
    }

    private List<JsonNode> inOrder() {
        final Set<String> replicas = new HashSet<>();
        mLines.forEach(line -> replicas.add(line.path("replica").asText()));
        replicas.remove("");
        final List<JsonNode> lines = new ArrayList<>(mLines);
        if (!mLines.isEmpty()) {
            final long first = mLines.stream().mapToLong(LogStory::millis).min().getAsLong();
            final long last = mLines.stream().mapToLong(LogStory::millis).max().getAsLong();
            mBeliefs.stream()
                    .filter(line -> replicas.contains(line.path("replica").asText()))
                    .filter(line -> millis(line) >= first - AROUND_MILLIS)
                    .filter(line -> millis(line) <= last + AROUND_MILLIS)
                    .forEach(lines::add);
        }
        lines.sort(Comparator.comparingLong(LogStory::millis));
        return lines;
    }

    private static long millis(final JsonNode line) {
        return line.path("ts").asLong();
    }

    private static String sentence(final JsonNode line) {
        final StringBuilder text = new StringBuilder();
        text.append(Instant.ofEpochMilli(millis(line)))
                .append(' ')
                .append(line.path("node").asText())
                .append(": ")
                .append(line.path("part").asText())
                .append(' ')
                .append(line.path("event").asText());
        line.fields()
                .forEachRemaining(
                        field -> {
                            if (!Set.of("ts", "node", "part", "event", "id")
                                    .contains(field.getKey())) {
                                text.append(", ")
                                        .append(field.getKey().replace('_', ' '))
                                        .append(' ')
                                        .append(field.getValue().asText());
                            }
                        });
        return text.toString();
    }
}
