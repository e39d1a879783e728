package io.persimmonreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON documents from the operator ports of daemons. */
final class OperatorClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ObjectMapper mJson = new ObjectMapper();
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    /**
     * Reads a path from each operator port.
     *
     * @param addresses the addresses, {@code ip:port} or base URLs
     * @param path the path
     * @param ignoredStatus a status that is not reported as an error, 0 for none
     * @param err receives one line for each port that could not be read
     * @return the response bodies with status 200 by address, in the order of the addresses
     * @throws BadInputException if an address is malformed
     * @throws InterruptedException if the thread is interrupted
     */
    Map<String, JsonNode> read(
            final List<String> addresses,
            final String path,
            final int ignoredStatus,
            final PrintStream err)
            throws BadInputException, InterruptedException {
        final Map<String, JsonNode> answers = new LinkedHashMap<>();
        for (final String address : addresses) {
            try {
                final HttpResponse<String> response =
                        mHttp.send(
                                HttpRequest.newBuilder(uri(address, path)).timeout(TIMEOUT).build(),
                                HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() == 200) {
                    answers.put(address, mJson.readTree(response.body()));
                } else if (response.statusCode() != ignoredStatus) {
                    err.println(address + ": status " + response.statusCode());
                }
            } catch (final IOException e) {
                final String reason =
                        e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
                err.println(address + ": " + reason);
            }
        }
        return answers;
    }

    private static URI uri(final String address, final String path) throws BadInputException {
        final String base = address.contains("://") ? address : "http://" + address;
        try {
            return URI.create(base + path);
        } catch (final IllegalArgumentException e) {
            throw new BadInputException("--operators: '" + address + "' is not an address");
        }
    }
}
