package io.persimmonreel.fakes;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends HTTP requests to a fake. */
final class TestClient {
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final FakeServer mServer;

    TestClient(final FakeServer server) {
        mServer = server;
    }

    HttpResponse<String> send(
            final String method, final String path, final String body, final String... headers)
            throws IOException, InterruptedException {
        return mClient.send(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest request(
            final String method, final String path, final String body, final String... headers) {
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + mServer.address() + path))
                        .version(HttpClient.Version.HTTP_1_1)
                        .timeout(Duration.ofSeconds(20))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return request.build();
    }

    HttpClient client() {
        return mClient;
    }
}
