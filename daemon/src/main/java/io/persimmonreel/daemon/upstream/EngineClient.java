package io.persimmonreel.daemon.upstream;

import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ReplicaSpec;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Opens, resumes, pauses and cancels token streams on engines and copies their KV caches. */
public final class EngineClient {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(15);

    /** At the maximum KV cache size, transfers buffer 64 MiB of the daemon's 256 MB. */
    private static final int MAXIMUM_CONCURRENT_TRANSFERS = 4;

    private static final int MAXIMUM_KV_CACHE_BYTES = 16 * 1024 * 1024;

    /** Responses to control requests are short; only an export carries a KV cache. */
    private static final int MAXIMUM_CONTROL_RESPONSE_BYTES = 64 * 1024;

    private final UpstreamHttpClient mHttp;
    private final TransferLimiter mTransferLimiter =
            new TransferLimiter(MAXIMUM_CONCURRENT_TRANSFERS);

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     */
    public EngineClient(final UpstreamHttpClient http) {
        mHttp = http;
    }

    /**
     * Opens a stream.
     *
     * @param replica the replica to run the stream
     * @param request the stream's parameters
     * @param gate decides, once connected, whether the request is sent
     * @param listener receives the validated stream
     * @return the open call
     */
    public StreamCall open(
            final ReplicaSpec replica,
            final StreamRequest request,
            final DispatchGate gate,
            final StreamListener listener) {
        final EventStreamSubscriber subscriber =
                new EventStreamSubscriber(
                        replica.id(), request.streamId(), 0, request.maxOutputTokens(), listener);
        return openStream(replica, "/v1/streams", ControlClient.toJson(request), gate, subscriber);
    }

    /**
     * Continues a stream that was paused or lost its connection. This is not a new dispatch.
     *
     * @param replica the replica that holds the KV cache
     * @param streamId the stream's id
     * @param nextIndex the index of the next token
     * @param maximumTokens the maximum length of the whole stream in tokens, including those before
     *     the index
     * @param listener receives the validated rest of the stream
     * @return the open call
     */
    public StreamCall resume(
            final ReplicaSpec replica,
            final String streamId,
            final int nextIndex,
            final int maximumTokens,
            final StreamListener listener) {
        final EventStreamSubscriber subscriber =
                new EventStreamSubscriber(
                        replica.id(), streamId, nextIndex, maximumTokens, listener);
        final byte[] body = ControlClient.toJson(Map.of("from", nextIndex));
        return openStream(
                replica, "/v1/streams/" + streamId + "/resume", body, () -> true, subscriber);
    }

    /**
     * Pauses a stream; the engine keeps its KV cache.
     *
     * @param replica the replica that runs the stream
     * @param streamId the stream's id
     * @return completes when the engine has confirmed, or with an {@link UpstreamException}
     */
    public CompletableFuture<Void> pause(final ReplicaSpec replica, final String streamId) {
        final HttpRequest request =
                mHttp.request(replica, "/v1/streams/" + streamId + "/pause")
                        .timeout(CONTROL_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        return sendControl(Step.STREAM, replica, request);
    }

    /**
     * Cancels a stream; the engine discards its KV cache.
     *
     * @param replica the replica that holds the stream
     * @param streamId the stream's id
     * @return completes when the engine has confirmed, or with an {@link UpstreamException}
     */
    public CompletableFuture<Void> cancel(final ReplicaSpec replica, final String streamId) {
        final HttpRequest request =
                mHttp.request(replica, "/v1/streams/" + streamId)
                        .timeout(CONTROL_TIMEOUT)
                        .DELETE()
                        .build();
        return sendControl(Step.STREAM, replica, request);
    }

    /**
     * Copies the KV cache of a stream to another replica. At most four transfers run at a time;
     * others wait in the order of the calls.
     *
     * @param source the replica that holds the stream
     * @param target the replica that will continue it
     * @param streamId the stream's id
     * @return completes when the target has imported the cache, or with an {@link
     *     UpstreamException}
     */
    public CompletableFuture<Void> transfer(
            final ReplicaSpec source, final ReplicaSpec target, final String streamId) {
        return mTransferLimiter.submit(
                () -> copyKvCache(source, target, "/v1/streams/" + streamId + "/kv"));
    }

    private CompletableFuture<Void> copyKvCache(
            final ReplicaSpec source, final ReplicaSpec target, final String path) {
        final HttpRequest export = mHttp.request(source, path).timeout(TRANSFER_TIMEOUT).build();
        return send(Step.RESUME, source, export, MAXIMUM_KV_CACHE_BYTES)
                .thenCompose(
                        cache ->
                                sendControl(
                                        Step.RESUME,
                                        target,
                                        mHttp.request(target, path)
                                                .header("Content-Type", "application/json")
                                                .timeout(TRANSFER_TIMEOUT)
                                                .PUT(bodyPublisher(cache))
                                                .build()));
    }

    /** Sets the content length, since engines need not accept a chunked request body. */
    private static HttpRequest.BodyPublisher bodyPublisher(final List<byte[]> chunks) {
        final long length = chunks.stream().mapToLong(chunk -> chunk.length).sum();
        return length == 0
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.fromPublisher(
                        HttpRequest.BodyPublishers.ofByteArrays(chunks), length);
    }

    private StreamCall openStream(
            final ReplicaSpec replica,
            final String path,
            final byte[] body,
            final DispatchGate gate,
            final EventStreamSubscriber subscriber) {
        final GatedBodyPublisher bodyPublisher = new GatedBodyPublisher(body, gate);
        final HttpRequest request =
                mHttp.request(replica, path)
                        .header("Content-Type", "application/json")
                        .header("Accept", "text/event-stream")
                        .POST(bodyPublisher)
                        .build();
        final CompletableFuture<HttpResponse<Void>> call =
                mHttp.send(
                        request,
                        info ->
                                info.statusCode() == 200
                                        ? subscriber
                                        : HttpResponse.BodySubscribers.replacing(null));
        call.whenComplete(
                (response, error) -> {
                    if (error != null) {
                        subscriber.fail(
                                UpstreamHttpClient.classify(
                                        Step.DISPATCH, replica.id(), bodyPublisher, error));
                    } else if (response.statusCode() != 200) {
                        subscriber.fail(rejection(Step.DISPATCH, replica, response.statusCode()));
                    }
                });
        return () -> {
            subscriber.abort();
            call.cancel(true);
        };
    }

    private CompletableFuture<Void> sendControl(
            final Step step, final ReplicaSpec replica, final HttpRequest request) {
        return send(step, replica, request, MAXIMUM_CONTROL_RESPONSE_BYTES).thenAccept(body -> {});
    }

    private CompletableFuture<List<byte[]>> send(
            final Step step,
            final ReplicaSpec replica,
            final HttpRequest request,
            final int maximumBytes) {
        return mHttp.send(request, info -> new BoundedBodySubscriber(maximumBytes))
                .handle(
                        (response, error) -> {
                            if (error != null) {
                                throw new CompletionException(
                                        UpstreamHttpClient.classify(
                                                step, replica.id(), null, error));
                            }
                            if (response.statusCode() / 100 != 2) {
                                throw new CompletionException(
                                        rejection(step, replica, response.statusCode()));
                            }
                            return response.body();
                        });
    }

    private static UpstreamException rejection(
            final Step step, final ReplicaSpec replica, final int status) {
        return new UpstreamException(
                step,
                replica.id(),
                UpstreamFault.REJECTED,
                "answered with status " + status,
                status);
    }
}
