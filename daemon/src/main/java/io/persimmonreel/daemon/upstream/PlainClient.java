package io.persimmonreel.daemon.upstream;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ReplicaSpec;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sends requests to plain services, each of which returns one JSON document. */
public final class PlainClient {
    /** A response body above this size fails the request. */
    static final int MAXIMUM_RESPONSE_BYTES = 1024 * 1024;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final UpstreamHttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     */
    public PlainClient(final UpstreamHttpClient http) {
        mHttp = http;
    }

    /**
     * Sends a request.
     *
     * @param replica the replica to run the request
     * @param requestId the request's id, which the response must echo
     * @param key the idempotency key, empty if there is none
     * @param body the request body
     * @param timeout the maximum time until the complete response is received
     * @param gate decides, once connected, whether the request is sent
     * @return completes with the response, or with an {@link UpstreamException}
     */
    public CompletableFuture<PlainResponse> run(
            final ReplicaSpec replica,
            final String requestId,
            final String key,
            final byte[] body,
            final Duration timeout,
            final DispatchGate gate) {
        final GatedBodyPublisher bodyPublisher = new GatedBodyPublisher(body, gate);
        final HttpRequest.Builder request =
                mHttp.request(replica, "/v1/run")
                        .header("Content-Type", "application/json")
                        .header("Request-Id", requestId)
                        .timeout(timeout)
                        .POST(bodyPublisher);
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        final CompletableFuture<PlainResponse> result = new CompletableFuture<>();
        final CompletableFuture<HttpResponse<byte[]>> call =
                mHttp.send(
                        request.build(),
                        info -> BoundedBodySubscriber.ofByteArray(MAXIMUM_RESPONSE_BYTES));
        call.whenComplete(
                (response, error) -> {
                    try {
                        if (error != null) {
                            throw UpstreamHttpClient.classify(
                                    Step.DISPATCH, replica.id(), bodyPublisher, error);
                        }
                        result.complete(validate(replica.id(), requestId, response));
                    } catch (final UpstreamException e) {
                        result.completeExceptionally(e);
                    }
                });
        // The request's own timeout ends with the response header; this one also covers the body.
        CompletableFuture.delayedExecutor(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> call.cancel(true));
        return result;
    }

    private static PlainResponse validate(
            final String replicaId, final String requestId, final HttpResponse<byte[]> response)
            throws UpstreamException {
        final int status = response.statusCode();
        if (status >= 500) {
            throw new UpstreamException(
                    Step.ANSWER,
                    replicaId,
                    UpstreamFault.REJECTED,
                    "answered with status " + status,
                    status);
        }
        if (!List.of(requestId).equals(response.headers().allValues("Request-Id"))) {
            throw invalidResponse(replicaId, "the answer belongs to another request");
        }
        final String type = response.headers().firstValue("Content-Type").orElse("");
        if (!isOneJsonDocument(response.body())) {
            throw invalidResponse(replicaId, "the answer is not one whole JSON document");
        }
        return new PlainResponse(
                status, type.isEmpty() ? "application/json" : type, response.body());
    }

    private static boolean isOneJsonDocument(final byte[] body) {
        try {
            return !MAPPER.readTree(body).isMissingNode();
        } catch (final IOException e) {
            return false;
        }
    }

    private static UpstreamException invalidResponse(final String replicaId, final String message) {
        return new UpstreamException(
                Step.ANSWER, replicaId, UpstreamFault.INVALID_RESPONSE, message);
    }
}
