package io.persimmonreel.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ReplicaSpec;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/** Reads load reports and cache events from replicas and sends orders to engines. */
public final class ControlClient {
    /** Reports are polled twice a second; one older than this is of little use to routing. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAXIMUM_RESPONSE_BYTES = 256 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final UpstreamHttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     */
    public ControlClient(final UpstreamHttpClient http) {
        mHttp = http;
    }

    /**
     * Reads the load report of a replica.
     *
     * @param replica the replica
     * @return completes with the report, or with an {@link UpstreamException}
     */
    public CompletableFuture<ReplicaReport> readLoadReport(final ReplicaSpec replica) {
        return read(replica, "/v1/load", ReplicaReport.class);
    }

    /**
     * Reads an engine's cache events as a JSON document.
     *
     * @param replica the engine's replica
     * @param after the number of the last event already read, 0 for all events the engine keeps
     * @return completes with the document, or with an {@link UpstreamException}
     */
    public CompletableFuture<JsonNode> readCacheEvents(
            final ReplicaSpec replica, final long after) {
        return read(replica, "/v1/cache-events?after=" + after, JsonNode.class);
    }

    /**
     * Sends an order to an engine.
     *
     * @param replica the engine's replica
     * @param order the order
     * @return completes with true if the engine accepted the order, with false if it rejected the
     *     fencing number, or with an {@link UpstreamException}
     */
    public CompletableFuture<Boolean> sendOrder(
            final ReplicaSpec replica, final EngineOrderRequest order) {
        final HttpRequest request =
                mHttp.request(replica, "/v1/orders")
                        .header("Content-Type", "application/json")
                        .timeout(ORDER_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(toJson(order)))
                        .build();
        return mHttp.send(
                        request, info -> BoundedBodySubscriber.ofByteArray(MAXIMUM_RESPONSE_BYTES))
                .handle(
                        (response, error) -> {
                            if (error == null && response.statusCode() == 409) {
                                return false;
                            }
                            requireSuccess(Step.ORDER, replica, response, error);
                            return true;
                        });
    }

    private <T> CompletableFuture<T> read(
            final ReplicaSpec replica, final String path, final Class<T> type) {
        final HttpRequest request = mHttp.request(replica, path).timeout(REPORT_TIMEOUT).build();
        return mHttp.send(
                        request, info -> BoundedBodySubscriber.ofByteArray(MAXIMUM_RESPONSE_BYTES))
                .orTimeout(2 * REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .handle((response, error) -> decode(replica, type, response, error));
    }

    private static <T> T decode(
            final ReplicaSpec replica,
            final Class<T> type,
            final HttpResponse<byte[]> response,
            final Throwable error) {
        try {
            return MAPPER.readValue(requireSuccess(Step.ROUTE, replica, response, error), type);
        } catch (final IOException e) {
            throw new CompletionException(
                    new UpstreamException(
                            Step.ROUTE,
                            replica.id(),
                            UpstreamFault.INVALID_RESPONSE,
                            "response is malformed"));
        }
    }

    private static byte[] requireSuccess(
            final Step step,
            final ReplicaSpec replica,
            final HttpResponse<byte[]> response,
            final Throwable error) {
        if (error != null) {
            throw new CompletionException(
                    UpstreamHttpClient.classify(step, replica.id(), null, error));
        }
        if (response.statusCode() / 100 != 2) {
            throw new CompletionException(
                    new UpstreamException(
                            step,
                            replica.id(),
                            UpstreamFault.REJECTED,
                            "replica responded with HTTP status " + response.statusCode(),
                            response.statusCode()));
        }
        return response.body();
    }

    static byte[] toJson(final Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (final JsonProcessingException e) {
            throw new IllegalArgumentException("value can't be encoded as JSON", e);
        }
    }
}
