package io.persimmonreel.proof;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedTrustManager;

/** Sends requests over HTTPS to several daemons in turn. */
final class SecureCaller {
    private final List<Integer> mPorts;
    private final HttpClient mClient;
    private final AtomicInteger mNextDaemon = new AtomicInteger();

    SecureCaller(final List<Integer> ports) throws Exception {
        mPorts = ports;
        final SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {new TrustAll()}, null);
        mClient = HttpClient.newBuilder().sslContext(context).build();
    }

    HttpResponse<String> sendReply(final String key) throws Exception {
        final String body = "{\"prompt\":\"hello tokens=5\"}";
        return post(mNextDaemon.getAndIncrement(), "/v1/services/reply/requests", key, "", body);
    }

    /** Sends a charge to a daemon other than the one that issued its idempotency key. */
    HttpResponse<String> sendCharge(final String key, final int number) throws Exception {
        final int daemon = mNextDaemon.getAndIncrement();
        final HttpResponse<String> issued = post(daemon, "/v1/keys", key, "", "");
        if (issued.statusCode() / 100 != 2) {
            return issued;
        }
        final String id = new ObjectMapper().readTree(issued.body()).path("key").asText();
        return post(daemon + 1, "/v1/services/charge/requests", key, id, "{\"n\":" + number + "}");
    }

    /** Returns the subject name in the certificate of the daemon that answers. */
    String certificateSubject(final String key) throws Exception {
        final X509Certificate certificate =
                (X509Certificate)
                        sendReply(key).sslSession().orElseThrow().getPeerCertificates()[0];
        return certificate.getSubjectX500Principal().getName();
    }

    private HttpResponse<String> post(
            final int daemon,
            final String path,
            final String key,
            final String idempotencyKey,
            final String body)
            throws Exception {
        final int port = mPorts.get(Math.floorMod(daemon, mPorts.size()));
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("https://127.0.0.1:" + port + path))
                        .version(HttpClient.Version.HTTP_1_1)
                        .header("Authorization", "Bearer " + key)
                        .timeout(Duration.ofSeconds(60))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Accepts every server certificate, since the test certificates do not name addresses. */
    private static final class TrustAll extends X509ExtendedTrustManager {
        @Override
        public void checkClientTrusted(final X509Certificate[] chain, final String type) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void checkClientTrusted(
                final X509Certificate[] chain, final String type, final Socket socket) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void checkClientTrusted(
                final X509Certificate[] chain, final String type, final SSLEngine engine) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void checkServerTrusted(final X509Certificate[] chain, final String type) {
            // CredentialChangeTest checks the certificate.
        }

        @Override
        public void checkServerTrusted(
                final X509Certificate[] chain, final String type, final Socket socket) {
            // CredentialChangeTest checks the certificate.
        }

        @Override
        public void checkServerTrusted(
                final X509Certificate[] chain, final String type, final SSLEngine engine) {
            // CredentialChangeTest checks the certificate.
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
