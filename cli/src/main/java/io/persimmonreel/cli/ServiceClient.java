package io.persimmonreel.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Sends requests to services through a fleet's entry hosts, by default in round-robin order. */
final class ServiceClient {
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final List<String> mEntryUrls;
    private final Duration mTimeout;
    private final AtomicInteger mNext = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param entryUrls the base URLs of the entry hosts, at least one
     * @param timeout the maximum time to wait for the start of an answer
     */
    ServiceClient(final List<String> entryUrls, final Duration timeout) {
        mEntryUrls = List.copyOf(entryUrls);
        mTimeout = timeout;
    }

    /** Sends a request to the next entry host. */
    Answer send(final Call call, final String customerKey, final Consumer<String> onToken)
            throws InterruptedException {
        final int index = Math.floorMod(mNext.getAndIncrement(), mEntryUrls.size());
        return send(index, call, customerKey, onToken);
    }

    /** Sends a request to the entry host with the given index. */
    Answer send(
            final int entryIndex,
            final Call call,
            final String customerKey,
            final Consumer<String> onToken)
            throws InterruptedException {
        final long start = System.nanoTime();
        final HttpRequest request = request(mEntryUrls.get(entryIndex), call, customerKey);
        String requestId = "";
        int status = 0;
        try {
            final HttpResponse<InputStream> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofInputStream());
            status = response.statusCode();
            requestId = response.headers().firstValue("Persimmonreel-Request-Id").orElse("");
            final String type = response.headers().firstValue("Content-Type").orElse("");
            final AnswerReader reader =
                    new AnswerReader(status, requestId, onToken, System::nanoTime, start);
            try (InputStream body = response.body()) {
                if (type.startsWith(EVENT_STREAM)) {
                    return reader.events(
                            new BufferedReader(
                                    new InputStreamReader(body, StandardCharsets.UTF_8)));
                }
                return reader.body(
                        new String(body.readAllBytes(), StandardCharsets.UTF_8), call.isEngine());
            }
        } catch (final ConnectException e) {
            // Nothing was sent, so the request can't have run.
            return new Answer(
                    0, "", "not-run", "connect", "connection refused", 0, "", 0, "", 0, 0);
        } catch (final IOException e) {
            return Answer.lost(status, requestId, String.valueOf(e.getMessage()))
                    .withTimes(0, System.nanoTime() - start);
        }
    }

    private HttpRequest request(final String entryUrl, final Call call, final String customerKey) {
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        entryUrl + "/v1/services/" + call.service() + "/requests"))
                        .timeout(mTimeout)
                        .header("Authorization", "Bearer " + customerKey)
                        .header("Content-Type", "application/json")
                        .header("Accept", call.stream() ? EVENT_STREAM : "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(call.body()));
        if (!call.key().isEmpty()) {
            request.header("Idempotency-Key", call.key());
        }
        for (int i = 0; i + 1 < call.headers().size(); i += 2) {
            request.header(call.headers().get(i), call.headers().get(i + 1));
        }
        return request.build();
    }
}
