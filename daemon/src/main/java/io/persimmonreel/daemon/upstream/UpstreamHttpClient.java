package io.persimmonreel.daemon.upstream;

import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ReplicaSpec;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;

/**
 * Sends requests to replicas with the JDK's HTTP client.
 *
 * <p>At-most-once dispatch needs to know whether a byte was written. Ratpack's client can't tell:
 * it reports a failed connect and a broken pooled connection by the same kind of error. The JDK's
 * client asks the request body for its length between connecting and writing, which {@link
 * GatedBodyPublisher} uses as the exact boundary. Its response body is a {@code Flow} of buffers,
 * and cancelling it closes the connection.
 */
public final class UpstreamHttpClient {
    /** Leaves time for one retransmission of a lost SYN packet within a region. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1500);

    private final HttpClient mClient;

    /**
     * Creates a client.
     *
     * @param executor runs the callbacks of all requests
     */
    public UpstreamHttpClient(final Executor executor) {
        mClient =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .followRedirects(HttpClient.Redirect.NEVER)
                        .proxy(HttpClient.Builder.NO_PROXY)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(executor)
                        .build();
    }

    HttpRequest.Builder request(final ReplicaSpec replica, final String path) {
        return HttpRequest.newBuilder(URI.create("http://" + replica.address() + path));
    }

    <T> CompletableFuture<HttpResponse<T>> send(
            final HttpRequest request, final HttpResponse.BodyHandler<T> handler) {
        try {
            return mClient.sendAsync(request, handler);
        } catch (final IllegalArgumentException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Converts an error of the HTTP client to an exception that tells whether the request was sent.
     *
     * @param step the step that sent the request
     * @param replicaId the replica's id
     * @param body the request's gated body, null if the request has none
     * @param error the error of the HTTP client
     * @return the exception
     */
    static UpstreamException classify(
            final Step step,
            final String replicaId,
            final GatedBodyPublisher body,
            final Throwable error) {
        final Throwable cause =
                error instanceof CompletionException && error.getCause() != null
                        ? error.getCause()
                        : error;
        if (cause instanceof UpstreamException) {
            return (UpstreamException) cause;
        }
        final boolean connectFailed =
                cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
        if (body == null ? connectFailed : !body.mayHaveBeenSent()) {
            return new UpstreamException(
                    Step.CONNECT,
                    replicaId,
                    UpstreamFault.NOT_SENT,
                    "connection failed" + messageSuffix(cause));
        }
        // A call is cancelled when its response did not come in time.
        if (cause instanceof HttpTimeoutException
                || cause instanceof TimeoutException
                || cause instanceof CancellationException) {
            return new UpstreamException(
                    step, replicaId, UpstreamFault.TIMED_OUT, "no answer came in time");
        }
        return new UpstreamException(
                step, replicaId, UpstreamFault.BROKEN, "connection broke" + messageSuffix(cause));
    }

    private static String messageSuffix(final Throwable cause) {
        return cause.getMessage() == null ? "" : ": " + cause.getMessage();
    }
}
