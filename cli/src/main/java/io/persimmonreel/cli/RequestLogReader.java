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
 * Collects from the logs of relays the lines that concern one request: those about the request
 * itself, and those about the state of its replicas shortly before and after.
 */
final class RequestLogReader {
    /** Relays detect that a replica ended within this time, including the skew of their clocks. */
    private static final long REPLICA_EVENT_MARGIN_MILLIS = 3_000;

    private static final String REQUEST_PART = "request";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String mRequestId;
    private final List<JsonNode> mRequestLines = new ArrayList<>();
    private final List<JsonNode> mReplicaLines = new ArrayList<>();

    RequestLogReader(final String requestId) {
        mRequestId = requestId;
    }

    /** Reads a log; lines without a JSON object belong to other programs and are skipped. */
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
            if (node.path("id").asText().equals(mRequestId)
                    && node.path("part").asText().equals(REQUEST_PART)) {
                mRequestLines.add(node);
            } else if (node.path("part").asText().equals("replica")) {
                mReplicaLines.add(node);
            }
        }
    }

    boolean isEmpty() {
        return mRequestLines.isEmpty();
    }

    /** Returns the lines in order of time, as JSON. */
    List<String> json() {
        return sortedLines().stream().map(JsonNode::toString).toList();
    }

    /** Returns the lines in order of time, as sentences. */
    List<String> sentences() {
        return sortedLines().stream().map(RequestLogReader::sentence).toList();
    }

    private List<JsonNode> sortedLines() {
        final Set<String> replicas = new HashSet<>();
        mRequestLines.forEach(line -> replicas.add(line.path("replica").asText()));
        replicas.remove("");
        final List<JsonNode> lines = new ArrayList<>(mRequestLines);
        if (!mRequestLines.isEmpty()) {
            final long first =
                    mRequestLines.stream().mapToLong(RequestLogReader::millis).min().getAsLong();
            final long last =
                    mRequestLines.stream().mapToLong(RequestLogReader::millis).max().getAsLong();
            mReplicaLines.stream()
                    .filter(line -> replicas.contains(line.path("replica").asText()))
                    .filter(line -> millis(line) >= first - REPLICA_EVENT_MARGIN_MILLIS)
                    .filter(line -> millis(line) <= last + REPLICA_EVENT_MARGIN_MILLIS)
                    .forEach(lines::add);
        }
        lines.sort(Comparator.comparingLong(RequestLogReader::millis));
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
